//! Metrics of the host.

use bv_dispatch::Dispatcher;
use bv_platform::StoreTraffic;
use bv_retry::{Balance, Settlement};
use bv_roster::Rejected;
use bv_route::KeyError;
use bv_types::{Millis, ServiceId};
use http::StatusCode;
use metrics::{counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram};
use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};

const ANSWERED: &str = "burdockvale_answered_total";
const REFUSED: &str = "burdockvale_refused_total";
const RETRIES: &str = "burdockvale_retries_total";
const RETRY_BUDGET: &str = "burdockvale_retry_budget_total";
const RETRIES_SETTLED: &str = "burdockvale_retries_settled_total";
const RETRY_BUDGET_USED: &str = "burdockvale_retry_budget_used";
const RETRY_BUDGET_ALLOWED: &str = "burdockvale_retry_budget_allowed";
const STREAMS_BROKEN: &str = "burdockvale_streams_broken_total";
const SILENT_SERVERS: &str = "burdockvale_silent_servers_total";
const HANDLES_FREED: &str = "burdockvale_handles_freed_total";
const RESERVATIONS: &str = "burdockvale_holds_total";
const LATENCY: &str = "burdockvale_latency_seconds";
const STORE_CALLS: &str = "burdockvale_store_calls_total";
const PEER_CALLS: &str = "burdockvale_peer_calls_total";
const ANSWERS_GIVEN_UP: &str = "burdockvale_answers_given_up_total";
const ROW_SOURCES: &str = "burdockvale_row_source_changes_total";
const SOURCES_DROPPED: &str = "burdockvale_row_sources_dropped_total";
const ROW_TRANSFER: &str = "burdockvale_row_transfer_seconds";
const ROW_TRANSFERS_GIVEN_UP: &str = "burdockvale_row_transfers_given_up_total";
const SOURCE_BUSY: &str = "burdockvale_row_source_busy_total";
const BAD_ROWS: &str = "burdockvale_unreadable_rows_total";
const FOREIGN_ROWS: &str = "burdockvale_foreign_rows_total";
const ANSWERS_REJECTED: &str = "burdockvale_row_answers_rejected_total";
const STORE_ERA: &str = "burdockvale_store_era";
const STORE_RESTORATIONS: &str = "burdockvale_store_restorations_total";
const CONFIG_VERSION: &str = "burdockvale_config_version";
const SERVERS: &str = "burdockvale_backend_servers";
const SERVERS_ANNOUNCED: &str = "burdockvale_server_announcements_total";
const ENGINE_CRASHES: &str = "burdockvale_engine_crashes_total";
const BLOCKED_CONTENTS: &str = "burdockvale_blocked_contents";
const BAD_HEADERS: &str = "burdockvale_unreadable_headers_total";
const KEYS_CHECKED: &str = "burdockvale_keys_checked_total";
const CONTROL_MESSAGES: &str = "burdockvale_control_messages_total";
const CONTROL_BYTES: &str = "burdockvale_control_bytes_total";
const QUOTAS: &str = "burdockvale_quota_requests_total";
const QUOTA_MESSAGES: &str = "burdockvale_quota_messages_total";
const QUOTA_BYTES: &str = "burdockvale_quota_bytes_total";
const QUOTA_TEAMS: &str = "burdockvale_quota_teams";
const SLOTS: &str = "burdockvale_slots_total";
const SLOT_WAIT: &str = "burdockvale_slot_wait_seconds";
const SLOTS_WAITING: &str = "burdockvale_slots_waiting";
const SLOTS_IN_USE: &str = "burdockvale_slots_in_use";
const SLOTS_LIMIT: &str = "burdockvale_slots_limit";
const LOGS_DROPPED: &str = "burdockvale_log_lines_dropped_total";

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BUCKETS: [f64; 9] = [0.025, 0.05, 0.1, 0.2, 0.4, 1.0, 2.0, 5.0, 15.0];

/// Installs the recorder.
pub(crate) fn install() -> Result<PrometheusHandle, BuildError> {
    let builder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Full(LATENCY.to_owned()), &LATENCY_BUCKETS)?
        .set_buckets_for_metric(Matcher::Full(ROW_TRANSFER.to_owned()), &LATENCY_BUCKETS)?;
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    // Several hosts in one process, as in tests, share the recorder of the first one.
    let _ = metrics::set_global_recorder(recorder);
    describe_counter!(ANSWERED, "Answers of backend servers, by status.");
    describe_counter!(REFUSED, "Requests without a server's answer, by reason.");
    describe_counter!(RETRIES, "Sends that were repeated, by reason.");
    describe_counter!(
        RETRY_BUDGET,
        "Retries that were taken from the budget or denied by it, by kind of send."
    );
    describe_counter!(
        RETRIES_SETTLED,
        "Retries whose send arrived, and retries given back to the budget."
    );
    describe_gauge!(
        RETRY_BUDGET_USED,
        "Retries of this host in the window, by service."
    );
    describe_gauge!(
        RETRY_BUDGET_ALLOWED,
        "Retries that this host's share allows in the window, by service."
    );
    describe_counter!(
        ENGINE_CRASHES,
        "Crashes of engines that ended answers to this host."
    );
    describe_gauge!(
        BLOCKED_CONTENTS,
        "Blocks of prompt parts and requests that crash engines."
    );
    describe_counter!(STREAMS_BROKEN, "Streams that ended early, by reason.");
    describe_counter!(
        SILENT_SERVERS,
        "Silences of servers in which another one was sought, by outcome."
    );
    describe_counter!(HANDLES_FREED, "Unused prompts that were freed, by success.");
    describe_counter!(RESERVATIONS, "Reservations of room at engines, by result.");
    describe_histogram!(LATENCY, "Time to the answer or to the first event.");
    describe_counter!(STORE_CALLS, "Calls of the store, by table and result.");
    describe_counter!(PEER_CALLS, "Questions to other hosts, by result.");
    describe_counter!(
        ROW_SOURCES,
        "Changes of the source of the store's rows, by new source."
    );
    describe_counter!(
        SOURCES_DROPPED,
        "Sources of the store's rows that were dropped, by reason."
    );
    describe_histogram!(
        ROW_TRANSFER,
        "Time for which an answer of more than 16 KB with rows arrived."
    );
    describe_counter!(
        ROW_TRANSFERS_GIVEN_UP,
        "Answers with rows that were given up after some of them had arrived, by reason."
    );
    describe_counter!(
        SOURCE_BUSY,
        "Queries that the source of rows had no room to answer."
    );
    describe_counter!(BAD_ROWS, "Rows of the store that cannot be read, by table.");
    describe_counter!(
        ANSWERS_REJECTED,
        "Answers about rows that do not continue the known ones, by table and reason."
    );
    describe_gauge!(
        STORE_ERA,
        "How often the store was restored from an older copy, as it states."
    );
    describe_counter!(
        STORE_RESTORATIONS,
        "Copies of tables that began a later era of the store, by table and source."
    );
    describe_gauge!(CONFIG_VERSION, "Version of the configuration in force.");
    describe_gauge!(SERVERS, "Backend servers that may receive work.");
    describe_counter!(
        SERVERS_ANNOUNCED,
        "Servers that announced that they leave or rest, by kind."
    );
    describe_counter!(BAD_HEADERS, "Headers of answers that cannot be read.");
    describe_counter!(LOGS_DROPPED, "Log lines left out to bound their rate.");
    describe_counter!(
        CONTROL_MESSAGES,
        "Messages to and from other hosts and the store, by kind and direction."
    );
    describe_counter!(
        CONTROL_BYTES,
        "Bytes of these messages without the headers of the transport."
    );
    describe_counter!(
        SLOTS,
        "Calls that asked for a slot of a plain server, by result."
    );
    describe_histogram!(SLOT_WAIT, "Time from the arrival of a call to its slot.");
    describe_gauge!(
        SLOTS_WAITING,
        "Calls that wait at the dispatcher of a service."
    );
    describe_gauge!(
        SLOTS_IN_USE,
        "Calls in progress at a server, as its dispatcher knows."
    );
    describe_gauge!(
        SLOTS_LIMIT,
        "Largest number of calls in progress at a server."
    );
    describe_counter!(KEYS_CHECKED, "Requests whose key was checked, by result.");
    describe_counter!(QUOTAS, "Requests of teams with a quota, by result.");
    describe_counter!(QUOTA_MESSAGES, "Messages about quotas, by direction.");
    describe_counter!(QUOTA_BYTES, "Bytes of messages about quotas, by direction.");
    describe_gauge!(
        QUOTA_TEAMS,
        "Teams whose quota this host lends, or spends, by role."
    );
    Ok(handle)
}

/// Counts a request of a team with a quota.
pub(crate) fn quota_request(result: &'static str) {
    counter!(QUOTAS, "result" => result).increment(1);
}

/// Counts a message about a quota and its bytes.
pub(crate) fn quota_message(direction: &'static str, bytes: usize) {
    counter!(QUOTA_MESSAGES, "direction" => direction).increment(1);
    counter!(QUOTA_BYTES, "direction" => direction).increment(bytes as u64);
}

/// Sets the number of teams whose quota this host lends, and of those whose quota it spends.
pub(crate) fn quota_teams(lent: usize, spent: usize) {
    gauge!(QUOTA_TEAMS, "role" => "owner").set(lent as f64);
    gauge!(QUOTA_TEAMS, "role" => "host").set(spent as f64);
}

pub(crate) fn answered(status: StatusCode, took: Millis) {
    counter!(ANSWERED, "status" => status.as_u16().to_string()).increment(1);
    histogram!(LATENCY).record(took.0 as f64 / 1_000.0);
}

pub(crate) fn refused(reason: &'static str) {
    counter!(REFUSED, "reason" => reason).increment(1);
}

/// Counts a request whose key was checked; `error` if it states no key of a team.
pub(crate) fn key_checked(error: Option<KeyError>) {
    let result = error.map_or("known", KeyError::code);
    counter!(KEYS_CHECKED, "result" => result).increment(1);
}

pub(crate) fn retry(reason: &'static str) {
    counter!(RETRIES, "reason" => reason).increment(1);
}

pub(crate) fn retry_budget(result: &'static str, kind: &'static str, count: u32) {
    counter!(RETRY_BUDGET, "result" => result, "send" => kind).increment(u64::from(count));
}

pub(crate) fn retries_settled(settlement: Settlement) {
    counter!(RETRIES_SETTLED, "result" => "arrived").increment(u64::from(settlement.arrived));
    counter!(RETRIES_SETTLED, "result" => "returned").increment(u64::from(settlement.returned));
}

pub(crate) fn retry_balance(service: &ServiceId, balance: Balance) {
    gauge!(RETRY_BUDGET_USED, "service" => service.to_string()).set(f64::from(balance.used));
    gauge!(RETRY_BUDGET_ALLOWED, "service" => service.to_string()).set(balance.allowed);
}

pub(crate) fn stream_broken(reason: &'static str) {
    counter!(STREAMS_BROKEN, "reason" => reason).increment(1);
}

pub(crate) fn silent_server(outcome: &'static str) {
    counter!(SILENT_SERVERS, "outcome" => outcome).increment(1);
}

pub(crate) fn handle_freed(freed: bool) {
    counter!(HANDLES_FREED, "freed" => if freed { "yes" } else { "no" }).increment(1);
}

pub(crate) fn reservation(result: &'static str) {
    counter!(RESERVATIONS, "result" => result).increment(1);
}

pub(crate) fn store_call(table: &'static str, ok: bool) {
    counter!(STORE_CALLS, "table" => table, "result" => if ok { "ok" } else { "failed" })
        .increment(1);
}

pub(crate) fn peer_call(ok: bool) {
    counter!(PEER_CALLS, "result" => if ok { "ok" } else { "failed" }).increment(1);
}

/// Kind of a message to or from another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ControlKind {
    /// Datagram with the load of a host.
    Load,
    /// Datagram about a trial.
    Trial,
    /// Datagram about the quota of a team.
    Quota,
    /// Datagram about the slots of plain servers.
    Dispatch,
    /// Query for rows.
    RowsQuery,
    /// Reply with all servers.
    AllRows,
    /// Reply with changed servers or a changed configuration, or with none.
    ChangedRows,
    /// Live hosts in a reply.
    Hosts,
}

impl ControlKind {
    fn name(self) -> &'static str {
        match self {
            ControlKind::Load => "load",
            ControlKind::Trial => "trial",
            ControlKind::Quota => "quota",
            ControlKind::Dispatch => "dispatch",
            ControlKind::RowsQuery => "rows_query",
            ControlKind::AllRows => "all_rows",
            ControlKind::ChangedRows => "changed_rows",
            ControlKind::Hosts => "hosts",
        }
    }
}

/// Direction of a message, seen from this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    Sent,
    Received,
}

impl Direction {
    fn name(self) -> &'static str {
        match self {
            Direction::Sent => "sent",
            Direction::Received => "received",
        }
    }
}

/// Counts a message to or from another host.
pub(crate) fn control_message(kind: ControlKind, direction: Direction, bytes: usize) {
    let labels = [("kind", kind.name()), ("direction", direction.name())];
    counter!(CONTROL_MESSAGES, &labels).increment(1);
    counter!(CONTROL_BYTES, &labels).increment(bytes as u64);
}

/// Sets the counts of the store's calls: their bodies are sent with writes and received with reads.
pub(crate) fn store_traffic(traffic: StoreTraffic) {
    let kinds = [
        ("store_read", traffic.reads),
        ("store_write", traffic.writes),
    ];
    for (kind, calls) in kinds {
        let sent = [("kind", kind), ("direction", "sent")];
        counter!(CONTROL_MESSAGES, &sent).absolute(calls.count);
        counter!(CONTROL_BYTES, &sent).absolute(calls.bytes_sent);
        let received = [("kind", kind), ("direction", "received")];
        counter!(CONTROL_MESSAGES, &received).absolute(calls.answers);
        counter!(CONTROL_BYTES, &received).absolute(calls.bytes_received);
    }
}

pub(crate) fn answer_given_up(reason: &'static str) {
    counter!(ANSWERS_GIVEN_UP, "reason" => reason).increment(1);
}

pub(crate) fn row_source(source: &'static str) {
    counter!(ROW_SOURCES, "source" => source).increment(1);
}

pub(crate) fn source_dropped(reason: &'static str) {
    counter!(SOURCES_DROPPED, "reason" => reason).increment(1);
}

/// Counts an answer with many rows and the time for which it arrived.
pub(crate) fn row_transfer(took: Millis) {
    histogram!(ROW_TRANSFER).record(took.0 as f64 / 1_000.0);
}

/// Counts an answer that was given up after some of it had arrived.
pub(crate) fn row_transfer_given_up(reason: &'static str) {
    counter!(ROW_TRANSFERS_GIVEN_UP, "reason" => reason).increment(1);
}

/// Counts a query that another host had no room to answer.
pub(crate) fn source_busy() {
    counter!(SOURCE_BUSY).increment(1);
}

pub(crate) fn unreadable_row(table: &'static str) {
    counter!(BAD_ROWS, "table" => table).increment(1);
}

pub(crate) fn foreign_rows(table: &'static str, count: usize) {
    counter!(FOREIGN_ROWS, "table" => table).increment(count as u64);
}

pub(crate) fn answer_rejected(table: &'static str, reason: Rejected) {
    let reason = match reason {
        Rejected::Gap => "gap",
        Rejected::Outdated => "outdated",
        Rejected::EarlierEra => "earlier_era",
        Rejected::LaterEra => "later_era",
    };
    counter!(ANSWERS_REJECTED, "table" => table, "reason" => reason).increment(1);
}

pub(crate) fn store_restored(table: &'static str, source: &'static str) {
    counter!(STORE_RESTORATIONS, "table" => table, "source" => source).increment(1);
}

pub(crate) fn store_era(era: u64) {
    gauge!(STORE_ERA).set(era as f64);
}

pub(crate) fn server_announced(kind: &'static str) {
    counter!(SERVERS_ANNOUNCED, "kind" => kind).increment(1);
}

pub(crate) fn unreadable_header(header: &'static str) {
    counter!(BAD_HEADERS, "header" => header).increment(1);
}

pub(crate) fn config_version(version: u64) {
    gauge!(CONFIG_VERSION).set(version as f64);
}

pub(crate) fn servers(count: usize) {
    gauge!(SERVERS).set(count as f64);
}

pub(crate) fn log_dropped() {
    counter!(LOGS_DROPPED).increment(1);
}

/// Counts a crash of an engine.
pub(crate) fn engine_crashed() {
    counter!(ENGINE_CRASHES).increment(1);
}

/// Sets the number of blocks of contents that crash engines.
pub(crate) fn blocked_contents(count: usize) {
    gauge!(BLOCKED_CONTENTS).set(count as f64);
}

/// Counts a call that asked for a slot.
pub(crate) fn slot(result: &'static str) {
    counter!(SLOTS, "result" => result).increment(1);
}

/// Records the time from the arrival of a call to its slot.
pub(crate) fn slot_wait(wait: Millis) {
    histogram!(SLOT_WAIT).record(wait.0 as f64 / 1_000.0);
}

/// Sets the load of a dispatcher at this host.
pub(crate) fn dispatcher(service: &ServiceId, now: Millis, dispatcher: &Dispatcher) {
    let service = service.to_string();
    gauge!(SLOTS_WAITING, "service" => service).set(dispatcher.waiting() as f64);
    for (server, in_use, limit) in dispatcher.loads(now) {
        gauge!(SLOTS_IN_USE, "server" => server.to_string()).set(f64::from(in_use));
        gauge!(SLOTS_LIMIT, "server" => server.to_string()).set(f64::from(limit));
    }
}

/// Clears the load of a dispatcher that was at this host.
pub(crate) fn dispatcher_ended(service: &ServiceId, now: Millis, dispatcher: &Dispatcher) {
    gauge!(SLOTS_WAITING, "service" => service.to_string()).set(0.0);
    for (server, _, _) in dispatcher.loads(now) {
        gauge!(SLOTS_IN_USE, "server" => server.to_string()).set(0.0);
        gauge!(SLOTS_LIMIT, "server" => server.to_string()).set(0.0);
    }
}
