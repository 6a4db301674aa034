//! What a simulated run plays, and what it measured.

/// A fault of a run. Times are in ms.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The host ends.
    Kill { host: usize, at: u64 },
    /// The host does nothing.
    Freeze { host: usize, from: u64, until: u64 },
    /// Datagrams to and from the host are lost.
    Cut { host: usize, from: u64, until: u64 },
    /// Datagrams to and from the host arrive later by a second.
    Late { host: usize, from: u64, until: u64 },
    /// All dispatchers lose their memory.
    RestartAll { at: u64 },
    /// The server refuses connections, and takes 1.6 times its time for 5 s afterwards.
    Down {
        server: usize,
        from: u64,
        until: u64,
    },
}

/// A run.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub seconds: u64,
    pub hosts: usize,
    pub servers: usize,
    pub zones: usize,
    /// One way between zones, in ms.
    pub cross_ms: u64,
    pub calls_per_s: f64,
    /// Factor of the calls in 2 of 10 s.
    pub burst: f64,
    /// Factor of the calls of the first of 16 teams; they have teams if it is not 1.
    pub hot_team: f64,
    pub work_ms: f64,
    /// Largest factor of the noise of shared machines.
    pub noise: f64,
    pub objective: u64,
    pub deadline: u64,
    /// Share of lost datagrams.
    pub loss: f64,
    /// Whether the pace that servers report has nothing to do with their noise.
    pub false_pace: bool,
    /// Whether slots are granted, or hosts place calls by themselves.
    pub granted: bool,
    pub faults: Vec<Fault>,
}

impl Plan {
    /// The SMS gateway on a heavy day.
    pub fn gateway(seed: u64, granted: bool) -> Self {
        Plan {
            seed,
            seconds: 20,
            hosts: 64,
            servers: 3,
            zones: 3,
            cross_ms: 5,
            calls_per_s: 235.0,
            burst: 2.2,
            hot_team: 1.0,
            work_ms: 30.0,
            noise: 2.5,
            objective: 200,
            deadline: 1_500,
            loss: 0.01,
            false_pace: false,
            granted,
            faults: Vec::new(),
        }
    }

    /// The quote desk on a heavy day.
    pub fn desk(seed: u64, granted: bool) -> Self {
        Plan {
            hosts: 76,
            servers: 5,
            zones: 4,
            cross_ms: 1,
            calls_per_s: 179.0,
            work_ms: 60.0,
            objective: 300,
            deadline: 4_000,
            ..Plan::gateway(seed, granted)
        }
    }

    pub fn with(mut self, faults: &[Fault]) -> Self {
        self.faults = faults.to_vec();
        self
    }

    fn covers(&self, time: u64, pick: impl Fn(&Fault) -> Option<(u64, u64)>) -> Option<u64> {
        let spans = self.faults.iter().filter_map(pick);
        let covering = spans.filter(|(from, until)| (*from..*until).contains(&time));
        covering.map(|(_, until)| until).max()
    }

    /// End of the time for which a host is frozen.
    pub fn frozen_until(&self, id: usize, time: u64) -> Option<u64> {
        self.covers(time, |fault| match *fault {
            Fault::Freeze { host, from, until } if host == id => Some((from, until)),
            _ => None,
        })
    }

    pub fn is_dead(&self, id: usize, time: u64) -> bool {
        let kills =
            |fault: &Fault| matches!(*fault, Fault::Kill { host, at } if host == id && at <= time);
        self.faults.iter().any(kills)
    }

    pub fn is_cut(&self, id: usize, time: u64) -> bool {
        let cut = self.covers(time, |fault| match *fault {
            Fault::Cut { host, from, until } if host == id => Some((from, until)),
            _ => None,
        });
        cut.is_some()
    }

    /// Additional delay of datagrams to or from a host.
    pub fn late_ms(&self, id: usize, time: u64) -> u64 {
        let late = self.covers(time, |fault| match *fault {
            Fault::Late { host, from, until } if host == id => Some((from, until)),
            _ => None,
        });
        late.map_or(0, |_| 1_000)
    }

    pub fn is_down(&self, id: usize, time: u64) -> bool {
        let down = self.covers(time, |fault| match *fault {
            Fault::Down {
                server,
                from,
                until,
            } if server == id => Some((from, until)),
            _ => None,
        });
        down.is_some()
    }

    /// Factor on the time of work at a server that has just started.
    pub fn start_factor(&self, id: usize, time: u64) -> f64 {
        let starts = self.covers(time, |fault| match *fault {
            Fault::Down { server, until, .. } if server == id => Some((until, until + 5_000)),
            _ => None,
        });
        if starts.is_some() { 1.6 } else { 1.0 }
    }
}

/// What a run measured.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub calls: usize,
    pub sends: usize,
    /// Sends that servers rejected.
    pub rejected: usize,
    pub served: usize,
    pub on_time: usize,
    /// Calls whose last refusal left them no time to return.
    pub refused: usize,
    /// Calls with an unknown outcome.
    pub unknown: usize,
    /// Calls at hosts that were killed.
    pub lost: usize,
    /// Calls that ran more than once, or after a refusal.
    pub false_runs: usize,
    /// Times from the first arrival to the answer, sorted.
    pub times: Vec<u64>,
    /// Calls and calls served on time of each priority.
    pub by_priority: [(usize, usize); 3],
    /// The same for the first team and all others.
    pub by_team: [(usize, usize); 2],
    /// Datagrams of all hosts.
    pub datagrams: usize,
}

impl Outcome {
    pub fn rejected_share(&self) -> f64 {
        self.rejected as f64 / self.sends.max(1) as f64
    }

    /// A quantile of the times of all served calls.
    pub fn time(&self, quantile: f64) -> u64 {
        let last = self.times.len().saturating_sub(1);
        let at = last as f64 * quantile;
        self.times.get(at as usize).copied().unwrap_or(0)
    }

    pub fn share(of: (usize, usize)) -> f64 {
        of.1 as f64 / of.0.max(1) as f64
    }

    pub fn served_share(&self) -> f64 {
        self.served as f64 / (self.calls - self.lost).max(1) as f64
    }

    pub fn add(&mut self, other: Outcome) {
        self.calls += other.calls;
        self.sends += other.sends;
        self.rejected += other.rejected;
        self.served += other.served;
        self.on_time += other.on_time;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.lost += other.lost;
        self.false_runs += other.false_runs;
        self.datagrams += other.datagrams;
        self.times.extend(other.times);
        self.times.sort_unstable();
        for (sum, part) in self.by_priority.iter_mut().zip(other.by_priority) {
            *sum = (sum.0 + part.0, sum.1 + part.1);
        }
        for (sum, part) in self.by_team.iter_mut().zip(other.by_team) {
            *sum = (sum.0 + part.0, sum.1 + part.1);
        }
    }
}
