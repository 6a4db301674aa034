//! Guards against a team whose calls cost the others when it sends seven times as many as usual.

mod sim;

use sim::{Outcome, Plan, play_seeds};

const SEEDS: u64 = 4;

#[test]
fn hot_team_bears_the_cost() {
    let plan = |seed, granted| Plan {
        hot_team: 7.0,
        burst: 1.0,
        ..Plan::gateway(seed, granted)
    };
    let alone = play_seeds(SEEDS, |seed| plan(seed, false));
    let granted = play_seeds(SEEDS, |seed| plan(seed, true));
    for (kind, outcome) in [("alone", &alone), ("granted", &granted)] {
        let [hot, others] = outcome.by_team.map(Outcome::share);
        println!(
            "{kind}: on time {:.2}% of the hot team, {:.2}% of the others, served {:.2}%, rejected {:.2}%",
            hot * 100.0,
            others * 100.0,
            outcome.served_share() * 100.0,
            outcome.rejected_share() * 100.0
        );
    }
    let [hot, others] = granted.by_team.map(Outcome::share);
    assert!(others >= 0.95, "{others}");
    assert!(others > hot);
    assert!(others >= Outcome::share(alone.by_team[1]));
    assert!(granted.rejected_share() <= 0.02);
}
