//! Case: an invalid version has two routes with the same prefix and the same host, once in capitals. A machine that is
//! added later and one that was there before run the same request in different services.

mod rig;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::Duration;

use rig::*;

const REQUESTS: u64 = 20;
const TIME_LIMIT: Duration = Duration::from_millis(4_000);
/// `config-propagation-ms`, and the time after which a machine that was started is in touch.
const PROPAGATION: Duration = Duration::from_millis(3_000);
const CONTACT_WINDOW: Duration = Duration::from_millis(4_000);

fn route(name: &str, host: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"path-prefix\":\"/orders/\",\"kind\":\"safe\",\"timeout-ms\":4000,\
         \"target-latency-ms\":250,\"priority\":2,\"service\":\"{service}\",\"max-attempts\":2}}"
    )
}

fn config(version: u32, routes: &[String]) -> String {
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health-check-path\":\"/health\",\"connection-limit\":100,\"protocol\":\"h1\",\"transport-security\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        routes.join(","),
        service("order-book"),
        service("spring-catalog")
    )
}

/// Serves the requests of a service; the body of its answers is its name.
fn serve_service(name: &'static str) -> impl Fn(TcpStream) + Send + Sync + 'static {
    move |stream| {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let id = request.header("request-id").unwrap_or("").to_owned();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: 3e1b.07.5a2.600.0.{id}\r\nServer-Load: 1,0,2\r\nContent-Length: {}\r\n\r\n{name}",
                name.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Runs the case and returns its exit code. The deployment ends when it is dropped.
fn run() -> i32 {
    let record = Record::create(&record_path());
    let trouble = has_trouble();
    record.line(format!("trouble: {trouble}"));
    let Some(net) = Net::choose() else { return NOT_RUN };
    let mut deployment =
        Deployment::new(net.clone(), &["celje", "zalec", "mozirje"], &[1, 2, 3], 1);
    let machine = |host: u8| {
        let is_core = host < 11;
        let kind = if is_core { "core" } else { "front" };
        let zone = ["celje", "zalec", "mozirje"][usize::from(host % 3)];
        Machine { name: format!("{kind}-{host}"), host, zone: zone.into(), is_core }
    };
    for host in [1, 2, 3, 11] {
        if deployment.start(&machine(host), true).is_err() {
            return NOT_RUN;
        }
    }
    let controls: Vec<SocketAddr> = (1..=3).map(|host| net.address(host, CONTROL_PORT)).collect();
    let replace = |version: u32, routes: &[String]| {
        let body = config(version, routes);
        let answer = control_call(
            &controls,
            "POST",
            "/Configuration.Replace",
            &body,
            Duration::from_secs(20),
        );
        let status = answer.map_or(0, |answer| answer.status());
        record.line(format!("operator: version {version}: {status}"));
        status
    };
    let first = route("r-orders", HOST, "order-book");
    if replace(7, std::slice::from_ref(&first)) != 200 {
        return NOT_RUN;
    }
    let services = ["order-book", "spring-catalog"];
    let mut searchers = Vec::new();
    for (number, service) in services.into_iter().enumerate() {
        let address = net.address(100 + number as u8, SEARCHER_PORT);
        if serve(address, serve_service(service)).is_err() {
            return NOT_RUN;
        }
        let id = format!("i-7f3a91c{number}");
        searchers.push(Searcher {
            id,
            service: service.into(),
            zone: "celje".into(),
            address,
            slots: 2,
        });
    }
    if !announce_all(controls.clone(), searchers, Arc::new(AtomicBool::new(false))) {
        return NOT_RUN;
    }
    let ready = |host: u8| await_ready(net.address(host, READY_PORT), Duration::from_secs(20));
    if !ready(11) {
        return NOT_RUN;
    }
    // An exact copy of the host and prefix is refused.
    let same = [route("r-springs", HOST, "spring-catalog"), first.clone()];
    let refused = replace(8, &same);
    if !(400..500).contains(&refused) {
        return NOT_RUN;
    }
    // The same host again, in capitals. Without the trouble it is another host.
    let other = if trouble { HOST.to_ascii_uppercase() } else { format!("other.{HOST}") };
    let acknowledged = replace(9, &[route("r-springs", &other, "spring-catalog"), first]);
    thread::sleep(PROPAGATION);
    if deployment.start(&machine(12), false).is_err() || !ready(12) {
        return NOT_RUN;
    }
    thread::sleep(CONTACT_WINDOW + Duration::from_secs(1));
    let mut ran: BTreeMap<(u8, String), u64> = BTreeMap::new();
    for number in 0..REQUESTS {
        for front in [11, 12] {
            let id = format!("{:016x}", number * 256 + u64::from(front));
            let ending =
                request(net.address(front, FRONT_PORT), "GET", "/orders/2f", &id, TIME_LIMIT, b"");
            let text = match &ending {
                Ending::Answer(answer) if answer.status() == 200 => {
                    String::from_utf8_lossy(&answer.body).into_owned()
                }
                ending => ending.text(),
            };
            record.line(format!("client: {id} for {HOST} at front-{front} is answered by {text}"));
            *ran.entry((front, text)).or_default() += 1;
        }
    }
    for ((front, service), count) in &ran {
        record.line(format!("front-{front}: {count} of {REQUESTS} requests for {HOST}/orders/ are answered by {service}"));
    }
    let foreign: u64 = ran
        .iter()
        .filter(|((_, service), _)| service == "spring-catalog")
        .map(|(_, count)| count)
        .sum();
    record.line(format!(
        "version 9 acknowledged: {}; requests that ran in the other service: {foreign}",
        acknowledged == 200
    ));
    match (trouble, acknowledged == 200) {
        (true, true) => BROKEN,
        (false, true) if foreign == 0 => HELD,
        (true, false) if (400..500).contains(&acknowledged) && foreign == 0 => HELD,
        _ => NOT_RUN,
    }
}

fn main() {
    exit(run());
}
