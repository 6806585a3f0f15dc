//! Hosts start, stop and receive the configuration during failures.

mod common;

use std::thread;

use camphorloft_platform::wire::HostEntry;
use camphorloft_standins::platform::PlatformFault;
use camphorloft_types::prelude::ConfigVersion;
use common::{KEYS, TestCluster, client, generate, problem, wait_until};

#[test]
fn a_draining_host_completes_its_streams_and_refuses_new_requests() {
    const TOKENS: u32 = 400;
    let cluster = TestCluster::start(1, 1);
    let mut stream = generate(cluster.host(), KEYS[0], "drain", TOKENS, None).ok().unwrap();
    stream.read(5);
    thread::scope(|scope| {
        let drained = scope.spawn(|| cluster.hosts[0].drain());
        let ready = || client().get(format!("http://{}/readyz", cluster.host())).call().unwrap();
        wait_until("the host is not ready", || ready().status() == 503);
        wait_until("new requests are refused", || {
            match generate(cluster.host(), KEYS[0], "late", 1, None) {
                Ok(_) => false,
                Err(mut refused) => problem(&mut refused)["outcome"] == "not_run",
            }
        });
        stream.read_to_end(TOKENS);
        assert_eq!(drained.join().unwrap(), 0);
    });
}

#[test]
fn a_host_that_starts_during_an_outage_fetches_the_set_from_a_peer() {
    let cluster = TestCluster::start(1, 1);
    cluster.publish(1);
    wait_until("version 2 is in force", || cluster.hosts[0].config.version() == ConfigVersion(2));
    cluster.platform.platform.state().inject(PlatformFault::Outage(300_000));
    let seeds = [cluster.hosts[0].peer_addr.to_string()];
    let late = cluster.start_host("host-late", &seeds);
    wait_until("the late host has the set", || late.config.version() == ConfigVersion(2));
    generate(late.addr, KEYS[0], "late", 10, None).ok().unwrap().read_to_end(10);
}

#[test]
fn a_host_without_a_configuration_refuses_requests() {
    let cluster = TestCluster::start(1, 1);
    cluster.platform.platform.state().inject(PlatformFault::Outage(300_000));
    let alone = cluster.start_host("host-alone", &[]);
    let mut refused = generate(alone.addr, KEYS[0], "alone", 1, None).err().unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(problem(&mut refused)["code"], "no_configuration");
    let ready = client().get(format!("http://{}/readyz", alone.addr)).call().unwrap();
    assert_eq!(ready.status(), 503);
}

#[test]
fn an_endpoint_listed_as_draining_gets_no_work() {
    let cluster = TestCluster::start(1, 1);
    let addr = cluster.engines[0].addr.to_string();
    let entry = HostEntry {
        name: "engine-0".to_owned(),
        addr,
        http_addr: None,
        region: "r".to_owned(),
        zone: "z".to_owned(),
        leaving: true,
    };
    cluster.platform.platform.state().set_host("engine-0", Some(entry));
    wait_until("work is refused", || match generate(cluster.host(), KEYS[0], "leaving", 1, None) {
        Ok(stream) => {
            stream.read_to_end(1);
            false
        }
        Err(mut refused) => problem(&mut refused)["code"] == "no_endpoint",
    });
}

#[test]
fn invalid_input_gets_a_specific_error_and_the_host_keeps_serving() {
    let cluster = TestCluster::start(1, 1);
    let host = cluster.host();
    let post = |path: &str, key: &str, body: &[u8]| {
        let call = client().post(format!("http://{host}{path}"));
        call.header("authorization", format!("Bearer {key}")).send(body).unwrap()
    };
    let completions = "/v1/completions";
    let large = vec![b' '; 200_000];
    let cases: [(&str, &str, &[u8], u16, &str); 9] = [
        (completions, KEYS[0], b"{", 400, "bad_request"),
        (completions, KEYS[0], b"[1]", 400, "bad_request"),
        (completions, KEYS[0], br#"{"model": "verdict"}"#, 400, "bad_request"),
        (completions, KEYS[0], br#"{"model": "x", "prompt": "p"}"#, 404, "unknown_route"),
        (completions, "wrong", br#"{"model": "verdict", "prompt": "p"}"#, 401, "unauthorized"),
        (completions, KEYS[0], &large, 413, "body_too_large"),
        (
            "/v1/chat/completions",
            KEYS[0],
            br#"{"model": "verdict", "messages": []}"#,
            400,
            "bad_request",
        ),
        ("/services/none/x", KEYS[0], b"", 404, "unknown_service"),
        ("/nowhere", KEYS[0], b"", 404, "unknown_path"),
    ];
    for (path, key, body, status, code) in cases {
        let mut response = post(path, key, body);
        assert_eq!(response.status(), status, "{path} {code}");
        let problem = problem(&mut response);
        assert_eq!(problem["code"], code);
        assert_eq!(problem["outcome"], "not_run");
        assert!(problem["detail"].as_str().is_some_and(|detail| !detail.is_empty()));
    }
    // Truncated and malformed requests on a raw socket.
    for bytes in
        [&b"GET"[..], b"\r\n\r\n", b"POST /v1/completions HTTP/1.1\r\ncontent-length: 50\r\n\r\n{"]
    {
        let mut stream = std::net::TcpStream::connect(host).unwrap();
        std::io::Write::write_all(&mut stream, bytes).unwrap();
    }
    generate(host, KEYS[0], "still up", 3, None).ok().unwrap().read_to_end(3);
    assert_eq!(cluster.violations(), 0);
}

#[test]
fn a_response_that_is_not_streamed_is_complete() {
    let cluster = TestCluster::start(1, 1);
    let body = serde_json::json!({
        "model": "verdict", "messages": [{ "role": "user", "content": "safe?" }],
        "standin": { "output_tokens": 12 }
    });
    let call = client().post(format!("http://{}/v1/chat/completions", cluster.host()));
    let mut response =
        call.header("authorization", format!("Bearer {}", KEYS[0])).send_json(&body).unwrap();
    let completion: serde_json::Value = response.body_mut().read_json().unwrap();
    let content = completion["choices"][0]["message"]["content"].as_str().unwrap();
    assert_eq!(content.split_whitespace().count(), 12);
    assert_eq!(completion["choices"][0]["finish_reason"], "stop");
}
