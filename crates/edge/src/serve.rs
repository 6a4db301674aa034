//! Checks callers' requests and passes them to their service.

use std::net::IpAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bv_blame::Content;
use bv_drain::LateRequest;
use bv_link::{CollectError, Sender, collect};
use bv_platform::{Table, caller_mark, credential, parse_caller_headers, set_team, strip_request};
use bv_roster::store_intervals;
use bv_route::{KeyError, Route, RouteTable, request_priority};
use bv_types::{Millis, Refusal, TeamId, Version};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, header};
use hyper::body::{Body as _, Incoming};
use smol_str::SmolStr;

use crate::answer::{Body, Failure, UnreadBody, close};
use crate::counters;
use crate::edge::{Edge, RequestCountGuard};
use crate::guard::Verdict;
use crate::model::ModelCall;
use crate::plain::call;
use crate::relay::stream;
use crate::request::{CallerRequest, CallerTeam};
use crate::trials::admit;

/// Longest time for reading the body of a request, unless its deadline is shorter.
pub(crate) const BODY_TIMEOUT: Millis = Millis(10_000);
/// Largest body that is digested on the thread that runs all tasks.
const MAX_INLINE_DIGEST_BYTES: usize = 64 << 10;
/// Time that the answer of a call for changes may take beyond the longest wait of the call.
const CALL_SLACK: Millis = Millis(900);

/// Serves one request of the caller at an address.
pub(crate) async fn serve(
    edge: Arc<Edge>,
    caller: IpAddr,
    verdict: Option<Verdict>,
    req: Request<Incoming>,
) -> Response<Body> {
    let count_guard = RequestCountGuard::new(&edge);
    let arrived = edge.now();
    let has_body = !req.body().is_end_stream();
    let accepted = tokio::select! {
        biased;
        accepted = accept(&edge, caller, verdict, req, arrived) => accepted,
        () = edge.wait_for_end() => Err(RefusedRequest::shutting_down()),
    };
    let mut response = match accepted {
        Ok(req) => run_until_end(&edge, req, count_guard).await,
        Err(refused) => {
            edge.logs.refused(edge.now(), &refused);
            counters::refused(refused.failure.code());
            let mut response = refused.failure.response();
            if has_body {
                // The library closes a connection with an unread body.
                close(&mut response);
                response.extensions_mut().insert(UnreadBody);
            }
            response
        }
    };
    if edge.is_stopping() {
        close(&mut response);
    }
    response
}

/// A request that was refused before it was passed to its service.
#[derive(Debug)]
pub(crate) struct RefusedRequest {
    pub failure: Failure,
    pub request_id: Option<smol_str::SmolStr>,
    /// The team of its caller, if that is known.
    pub team: Option<TeamId>,
    /// Version of the configuration in force.
    pub config: Option<Version>,
    /// Time since the configuration was last confirmed to be the newest.
    pub config_age: Option<Millis>,
}

impl RefusedRequest {
    /// The process ends; another host can serve the request at once.
    fn shutting_down() -> Self {
        RefusedRequest {
            failure: Failure::NotRun {
                reason: Refusal::ShuttingDown,
                retry_after: Millis::ZERO,
            },
            ..Refusal::ShuttingDown.into()
        }
    }
}

impl From<Refusal> for RefusedRequest {
    fn from(reason: Refusal) -> Self {
        RefusedRequest {
            failure: Failure::refused(reason),
            request_id: None,
            team: None,
            config: None,
            config_age: None,
        }
    }
}

/// Checks a request, chooses its route and service, and reads its body.
async fn accept(
    edge: &Arc<Edge>,
    caller: IpAddr,
    verdict: Option<Verdict>,
    req: Request<Incoming>,
    arrived: Millis,
) -> Result<CallerRequest, RefusedRequest> {
    if !verdict.is_some_and(Verdict::has_unambiguous_end) {
        return Err(Refusal::BadRequest.into());
    }
    if verdict.is_some_and(Verdict::lacks_memory) {
        return Err(Refusal::NoMemory.into());
    }
    let (parts, mut body) = req.into_parts();
    let facts = parse_caller_headers(&parts.headers).ok_or(Refusal::BadRequest)?;
    let (table, age) = {
        let state = edge.state();
        (
            state.in_force.table().cloned(),
            state.table_age(arrived, Table::Config),
        )
    };
    let config = table.as_ref().map(|table| table.version());
    let refuse = |reason: Refusal, config_age: Option<Millis>| RefusedRequest {
        failure: Failure::refused(reason),
        request_id: Some(facts.request_id.clone()),
        team: None,
        config,
        config_age,
    };
    let table = table.ok_or_else(|| refuse(Refusal::NotConfigured, None))?;
    if !edge.state().is_ready() {
        return Err(refuse(Refusal::NotConfigured, age));
    }
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .map(SmolStr::from)
        .ok_or_else(|| refuse(Refusal::BadRequest, age))?;
    let mut route = match table.find(&host, parts.uri.path()) {
        Some(route) => route.clone(),
        None => {
            let reason = match may_lack_change(edge, age) {
                true => Refusal::NotConfigured,
                false => Refusal::NoRoute,
            };
            return Err(refuse(reason, age));
        }
    };
    let team = identify(edge, &table, &mut route, &parts.headers, age)
        .map_err(|reason| refuse(reason, age))?;
    let refuse = |reason: Refusal, config_age: Option<Millis>| RefusedRequest {
        team: team.as_ref().map(|team| team.id.clone()),
        ..refuse(reason, config_age)
    };
    let service = route
        .pick_service(fastrand::u64(..))
        .cloned()
        .ok_or_else(|| refuse(Refusal::NoBackend, age))?;
    let time_limit = facts
        .deadline
        .map_or(route.timeout, |d| d.min(route.timeout));
    let late = match route.kind.is_stream() {
        true => LateRequest::Stream,
        false => LateRequest::Call(time_limit),
    };
    if !edge.may_accept(arrived, late) {
        return Err(RefusedRequest {
            failure: RefusedRequest::shutting_down().failure,
            ..refuse(Refusal::ShuttingDown, age)
        });
    }
    let deadline = arrived + time_limit;
    let limit = table.limits().max_body.0 as usize;
    let body = read_body(edge, &mut body, limit, time_limit.min(BODY_TIMEOUT))
        .await
        .map_err(|reason| refuse(reason, age))?;
    let mut headers = parts.headers;
    strip_request(&mut headers);
    let uri = origin_form(parts.uri);
    let content = digest(&facts.prompt_parts, &parts.method, &host, &uri, &body).await;
    // Callers of a team share its key, and their addresses may change from one attempt to the next.
    let caller = match &team {
        Some(team) => team.id.to_string(),
        None => caller.to_string(),
    };
    if table.teams().is_some() {
        set_team(&mut headers, None);
    }
    let content = content.with_caller([caller.as_bytes(), &caller_mark(&headers)]);
    if let Some(team) = &team {
        set_team(&mut headers, Some(&team.id));
    }
    Ok(CallerRequest {
        method: parts.method,
        uri,
        content,
        trial: OnceLock::new(),
        headers,
        body,
        facts,
        table: table.clone(),
        route,
        team,
        service,
        arrived,
        deadline,
    })
}

/// Whether this host may lack a change of the configuration that is due, so that it cannot know that
/// something is not in the configuration. With few hosts, each waits for changes itself, for as long
/// as the promised time.
fn may_lack_change(edge: &Edge, config_age: Option<Millis>) -> bool {
    let bounds = edge.state().sources.bounds();
    let wait = store_intervals::change_wait(edge.host_count(), bounds);
    let stale_after = bounds.promise().max(wait + CALL_SLACK);
    config_age.is_none_or(|age| age > stale_after)
}

/// The team of a request. Its priority goes before that of the route.
fn identify(
    edge: &Edge,
    table: &RouteTable,
    route: &mut Route,
    headers: &HeaderMap,
    config_age: Option<Millis>,
) -> Result<Option<CallerTeam>, Refusal> {
    if table.teams().is_none() {
        return Ok(None);
    }
    let identified = table.identify(route, credential(headers));
    counters::key_checked(identified.as_ref().err().copied());
    let max_age = edge.bounds().max_key_age;
    let is_unconfirmed = max_age.is_some_and(|max| config_age.is_none_or(|age| age > max));
    let team = match identified {
        Err(KeyError::Unknown) if is_unconfirmed || may_lack_change(edge, config_age) => {
            return Err(Refusal::NotConfigured);
        }
        Err(_) => return Err(Refusal::UnknownKey),
        Ok(_) if is_unconfirmed && !route.is_public => return Err(Refusal::NotConfigured),
        Ok(team) => team,
    };
    let team_priority = team.and_then(|team| team.priority);
    route.priority = request_priority(team_priority, route.priority);
    Ok(team.map(CallerTeam::from))
}

/// Digests a request. All tasks run on one thread, so large bodies are digested on another one.
async fn digest(
    prompt_parts: &[SmolStr],
    method: &Method,
    host: &SmolStr,
    uri: &http::Uri,
    body: &Bytes,
) -> Content {
    if body.len() <= MAX_INLINE_DIGEST_BYTES {
        return digest_inline(prompt_parts, method, host, uri, body);
    }
    let (parts, method, uri) = (prompt_parts.to_vec(), method.clone(), uri.clone());
    let (host, body) = (host.clone(), body.clone());
    let digesting =
        tokio::task::spawn_blocking(move || digest_inline(&parts, &method, &host, &uri, &body));
    match digesting.await {
        Ok(content) => content,
        Err(err) => std::panic::resume_unwind(err.into_panic()),
    }
}

fn digest_inline(
    prompt_parts: &[SmolStr],
    method: &Method,
    host: &str,
    uri: &http::Uri,
    body: &[u8],
) -> Content {
    let uri = uri.to_string();
    let request = [
        method.as_str().as_bytes(),
        host.as_bytes(),
        uri.as_bytes(),
        body,
    ];
    Content::new(prompt_parts.iter().map(SmolStr::as_str), request)
}

/// Reduces a URI to path and query, as backend servers expect it.
fn origin_form(uri: http::Uri) -> http::Uri {
    match uri.path_and_query() {
        Some(path) if uri.authority().is_some() => http::Uri::from(path.clone()),
        _ => uri,
    }
}

async fn read_body(
    edge: &Edge,
    body: &mut Incoming,
    limit: usize,
    timeout: Millis,
) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let reading = collect(body, limit, &edge.memory, Sender::Caller);
    match tokio::time::timeout(Duration::from_millis(timeout.0), reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(CollectError::TooLong { .. })) => Err(Refusal::BodyTooLarge),
        Ok(Err(CollectError::NoMemory { .. })) => Err(Refusal::NoMemory),
        Ok(Err(CollectError::Broken(_))) => Err(Refusal::BadRequest),
        Err(_) => Err(Refusal::ReadTimeout),
    }
}

/// Serves an accepted request, or answers without its server if the process ends before.
async fn run_until_end(
    edge: &Arc<Edge>,
    req: CallerRequest,
    count_guard: RequestCountGuard,
) -> Response<Body> {
    let req = Arc::new(req);
    tokio::select! {
        biased;
        response = run(edge, req.clone(), count_guard) => response,
        () = edge.wait_for_end() => {
            let failure = Failure::HostEnded;
            counters::refused(failure.code());
            edge.logs.failed(edge.now(), &req, failure);
            failure.response()
        }
    }
}

/// Passes an accepted request to its service.
async fn run(
    edge: &Arc<Edge>,
    req: Arc<CallerRequest>,
    count_guard: RequestCountGuard,
) -> Response<Body> {
    let limits = edge.budget_limits();
    edge.state()
        .retry_budgets
        .request(req.arrived, &req.service, limits);
    let quota = edge.admit_quota(&req).await;
    let admitted = match &quota {
        Ok(_) => admit(edge, &req).await,
        Err(failure) => Err(*failure),
    };
    let result = match req.route.kind.is_stream() {
        _ if let Err(failure) = admitted => Err(failure),
        true => stream(edge, ModelCall::new(edge, req.clone()), count_guard).await,
        false => {
            let _count_guard = count_guard;
            call(edge, &req).await
        }
    };
    let now = edge.now();
    match result {
        Ok(response) => {
            counters::answered(response.status(), now - req.arrived);
            edge.logs.answered(now, &req, response.status());
            response
        }
        Err(failure) => {
            if let (Ok(quota), Failure::NotRun { .. }) = (quota, failure) {
                quota.give_back();
            }
            counters::refused(failure.code());
            edge.logs.failed(now, &req, failure);
            failure.response()
        }
    }
}
