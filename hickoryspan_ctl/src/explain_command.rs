//! Asks an entry where it would send a request, and prints the answer.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use hickoryspan_core::gateway::explanation::{
    EXPLAIN_PATH, ExplainQuestion, RequestExplanation, ServiceExplanation, TargetExplanation,
};
use hickoryspan_runtime::http_client::HttpConnection;
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request};
use http_body_util::Full;
use tokio::time::timeout;

use crate::arguments::ExplainArguments;
use crate::exit_status::ExitStatus;
use crate::program::{RunContext, RunFailure};
use crate::report::table;

/// Timeout for opening the connection to the entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the answer of the entry.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of an answer in bytes. It names a few services.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

pub(crate) async fn run(
    context: &mut RunContext<'_>,
    arguments: ExplainArguments,
) -> Result<ExitStatus, RunFailure> {
    let entry: SocketAddr =
        arguments.entry.parse().with_context(|| format!("entry: {}", arguments.entry))?;
    let key = match &arguments.key_file {
        Some(file) => {
            let text =
                std::fs::read_to_string(file).with_context(|| format!("read key: {file}"))?;
            Some(text.trim().into())
        }
        None => None,
    };
    let question = ExplainQuestion {
        method: arguments.method.as_deref().unwrap_or("GET").into(),
        host: arguments.host.into(),
        path: arguments.path.into(),
        key,
    };
    let explanation = ask(entry, &question)
        .await
        .map_err(|error| RunFailure::new(ExitStatus::Unavailable, format!("{error:#}")))?;
    context.print(&explanation, || explanation_text(&explanation))?;
    Ok(ExitStatus::Done)
}

async fn ask(entry: SocketAddr, question: &ExplainQuestion) -> anyhow::Result<RequestExplanation> {
    let step = || format!("explain: entry {entry}");
    let body = serde_json::to_vec(question).context("encode the question")?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(EXPLAIN_PATH)
        .header(HOST, entry.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .context("encode the question")?;
    let mut connection = HttpConnection::open(entry, CONNECT_TIMEOUT).await.with_context(step)?;
    let answer = timeout(ANSWER_TIMEOUT, connection.send(request, MAX_ANSWER_BYTES)).await;
    connection.close().await;
    let answer = answer.with_context(step)?.with_context(step)?;
    let text = String::from_utf8_lossy(&answer.body);
    anyhow::ensure!(answer.status.is_success(), "{}: {}: {text}", step(), answer.status);
    serde_json::from_slice(&answer.body).with_context(step)
}

fn explanation_text(explanation: &RequestExplanation) -> String {
    let mut lines = vec![headline(explanation)];
    let checks = explanation.checks.iter().map(|check| {
        let outcome = if check.passed { "passed" } else { "refused" };
        [check.check.to_string(), outcome.to_owned(), check.detail.to_string()]
    });
    lines.push(table(["CHECK", "OUTCOME", "DETAIL"], checks));
    if let Some(work) = &explanation.work {
        lines.push(format!(
            "expected work {:.1} ms, 95% below {:.1} ms, by {}; {:.0}% of the variance of the route is known before sending",
            work.mean_ms,
            work.high_ms,
            work.source,
            work.explained * 100.0
        ));
    }
    if let Some(delay) = explanation.hedge_after_ms {
        lines.push(format!("hedge after {delay:.1} ms"));
    }
    lines.extend(explanation.services.iter().map(service_text));
    if explanation.further_services > 0 {
        lines.push(format!("{} further services", explanation.further_services));
    }
    lines.join("\n\n")
}

fn headline(explanation: &RequestExplanation) -> String {
    let known = |text: &Option<std::sync::Arc<str>>| text.as_deref().unwrap_or("-").to_owned();
    let version = explanation.version.map_or_else(|| "-".to_owned(), |known| known.to_string());
    let priority = explanation.priority.map_or_else(|| "-".to_owned(), |known| known.to_string());
    format!(
        "entry {}, version {version}, route {}, account {}, priority {priority}, targets compared by {}",
        explanation.entry,
        known(&explanation.route),
        known(&explanation.account),
        explanation.policy
    )
}

fn service_text(service: &ServiceExplanation) -> String {
    let queue = service.queue.map_or_else(|| "-".to_owned(), |queue| format!("{queue:.2}"));
    let header =
        ["TARGET", "DOMAIN", "COST", "WAIT MS", "WORK MS", "AVERSION", "SENT", "AGE MS", "STATE"];
    let rows = table(header, service.targets.iter().map(target_row));
    format!("service {}, waiting per slot {queue}\n{rows}", service.service)
}

fn target_row(target: &TargetExplanation) -> [String; 9] {
    let millis =
        |time: Option<f64>| time.map_or_else(|| "-".to_owned(), |time| format!("{time:.1}"));
    let age = target.report_age_ms.map_or_else(|| "-".to_owned(), |age| age.to_string());
    [
        target.target.to_string(),
        target.domain.to_string(),
        format!("{:.4}", target.cost),
        millis(target.wait_ms),
        millis(target.service_ms),
        format!("{:.2}", target.aversion),
        target.in_flight.to_string(),
        age,
        state_text(target),
    ]
}

fn state_text(target: &TargetExplanation) -> String {
    let flags = [(target.cold, "cold"), (target.overdue, "overdue"), (target.limited, "limited")];
    let flags = flags.into_iter().filter_map(|(set, name)| set.then_some(name));
    let states: Vec<&str> =
        target.excluded.map(|reason| reason.as_str()).into_iter().chain(flags).collect();
    if states.is_empty() { "considered".to_owned() } else { states.join(" ") }
}
