//! Messages in which hosts tell each other of crashes and of contents that survived.

use bv_blame::{CrashId, CrashReport, Report, SurvivalReport, Suspicion};
use bv_types::{Fingerprint, Millis};
use prost::Message;

/// A crash of an engine, with digests of the contents that may have caused it.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct EngineCrash {
    #[prost(fixed64, tag = "1")]
    id: u64,
    /// Time since the crash, in ms.
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    /// Contents of requests that had no answer yet.
    #[prost(bytes = "vec", repeated, tag = "3")]
    unanswered: Vec<Vec<u8>>,
    /// Contents of requests whose answer had begun.
    #[prost(bytes = "vec", repeated, tag = "4")]
    answered: Vec<Vec<u8>>,
    /// Like `unanswered`, but of contents that identify whole requests.
    #[prost(bytes = "vec", repeated, tag = "5")]
    unanswered_requests: Vec<Vec<u8>>,
    /// Like `answered`, but of contents that identify whole requests.
    #[prost(bytes = "vec", repeated, tag = "6")]
    answered_requests: Vec<Vec<u8>>,
    /// Those of whole requests that were sent in a trial.
    #[prost(bytes = "vec", repeated, tag = "7")]
    tried: Vec<Vec<u8>>,
}

/// A content that an engine answered without a crash.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ContentSurvival {
    #[prost(bytes = "vec", tag = "1")]
    content: Vec<u8>,
    /// Time since then, in ms.
    #[prost(uint64, tag = "2")]
    age_ms: u64,
}

pub(crate) fn encode_crash(crash: &CrashReport) -> EngineCrash {
    let of = |is_wanted: &dyn Fn(&Suspicion) -> bool| {
        let suspects = crash.suspects.iter().filter(|s| is_wanted(s));
        suspects.map(|s| s.content.0.to_vec()).collect()
    };
    EngineCrash {
        id: crash.id.0,
        age_ms: crash.age.0,
        unanswered: of(&|s| !s.is_request && !s.has_answer),
        answered: of(&|s| !s.is_request && s.has_answer),
        unanswered_requests: of(&|s| s.is_request && !s.has_answer),
        answered_requests: of(&|s| s.is_request && s.has_answer),
        tried: of(&|s| s.in_trial),
    }
}

pub(crate) fn encode_survival(survival: &SurvivalReport) -> ContentSurvival {
    ContentSurvival {
        content: survival.content.0.to_vec(),
        age_ms: survival.age.0,
    }
}

/// The report of another host. Digests of a wrong length are left out.
pub(crate) fn decode_report(crashes: &[EngineCrash], survivals: &[ContentSurvival]) -> Report {
    let digest = |bytes: &Vec<u8>| Some(Fingerprint(bytes.as_slice().try_into().ok()?));
    let suspicions = |crash: &EngineCrash| {
        let lists = [
            (&crash.unanswered, false, false),
            (&crash.answered, false, true),
            (&crash.unanswered_requests, true, false),
            (&crash.answered_requests, true, true),
        ];
        let suspicions = lists
            .into_iter()
            .flat_map(|(list, is_request, has_answer)| {
                let contents = list
                    .iter()
                    .map(move |bytes| (bytes, is_request, has_answer));
                contents.collect::<Vec<_>>()
            });
        let suspicions = suspicions.filter_map(|(bytes, is_request, has_answer)| {
            Some(Suspicion {
                content: digest(bytes)?,
                is_request,
                in_trial: crash.tried.contains(bytes),
                has_answer,
            })
        });
        suspicions.collect()
    };
    let crashes = crashes.iter().map(|crash| CrashReport {
        id: CrashId(crash.id),
        age: Millis(crash.age_ms),
        suspects: suspicions(crash),
    });
    let survivals = survivals.iter().filter_map(|survival| {
        Some(SurvivalReport {
            content: digest(&survival.content)?,
            age: Millis(survival.age_ms),
        })
    });
    Report {
        crashes: crashes.collect(),
        survivals: survivals.collect(),
    }
}
