//! Responses of upstreams that are cut at each of their bytes.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use coltsfootnotch_types::Incarnation;
use coltsfootnotch_wire::{AttemptId, Call};
use googletest::prelude::*;
use socket2::SockRef;
use tokio::sync::mpsc;

use super::{Clients, ResponsePart, UpstreamCall};

/// Deadline of the calls.
const DEADLINE: Duration = Duration::from_secs(20);
/// Threads that call at once.
const CALLERS: usize = 4;
/// A response that is whole and leaves its connection open.
const SOUND: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const HINTS: &str = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
const LENGTH: &str = "HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 11\r\n\r\n{\"whole\":1}";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nx-a: b\r\ntransfer-encoding: chunked\r\n\r\n\
                       5\r\n{\"who\r\n6;x=y\r\nle\":1}\r\n0\r\nx-t: c\r\n\r\n";
const CLOSE: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"whole\":1}";
const HTTP_1_0: &str = "HTTP/1.0 200 OK\r\nserver: old\r\n\r\n{\"whole\":1}";
const JSON: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n\r\n\
                    {\"whole\":1}";
const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                      transfer-encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n\
                      e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\nx-a: b\r\n\r\n";
const REDIRECT: &str =
    "HTTP/1.1 302 Found\r\nlocation: /other/0/0/0\r\ncontent-length: 2\r\n\r\nto";
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nretry-after: 9\r\nx-a: b\r\n\
                       content-length: 4\r\n\r\nfull";
const FAILURE: &str =
    "HTTP/1.1 500 Internal Server Error\r\nx-a: b\r\ncontent-length: 3\r\n\r\nbad";

/// A whole response, and what a caller of it gets.
struct Form {
    interim: String,
    response: String,
    status: u16,
    body: &'static str,
}

impl Form {
    fn new(interim: &str, response: &str, status: u16, body: &'static str) -> Self {
        Self {
            interim: interim.to_owned(),
            response: response.to_owned(),
            status,
            body,
        }
    }

    /// The same with line ends of one byte.
    fn with_bare_line_ends(&self) -> Self {
        let bare = |text: &str| text.replace("\r\n", "\n");
        let (head, body) = self.response.split_once("\r\n\r\n").unwrap();
        Self {
            interim: bare(&self.interim),
            response: format!("{}\n\n{body}", bare(head)),
            ..*self
        }
    }

    fn bytes(&self) -> String {
        format!("{}{}", self.interim, self.response)
    }

    /// Bytes up to the end of the final head.
    fn head_len(&self) -> usize {
        let ends = ["\r\n\r\n", "\n\n"];
        let end = |end: &&str| self.response.find(*end).map(|at| at + end.len());
        self.interim.len() + ends.iter().filter_map(end).min().unwrap()
    }
}

fn forms() -> Vec<Form> {
    const BODY: &str = "{\"whole\":1}";
    let mut forms = Vec::new();
    for response in [LENGTH, CHUNKED, CLOSE, HTTP_1_0] {
        for interim in ["", CONTINUE, HINTS, &[CONTINUE, HINTS].concat()] {
            forms.push(Form::new(interim, response, 200, BODY));
        }
    }
    forms.push(Form::new("", JSON, 200, BODY));
    forms.push(Form::new("", STREAM, 200, "data: a\n\ndata: [DONE]\n\n"));
    forms.push(Form::new("", NO_CONTENT, 204, ""));
    forms.push(Form::new("", REDIRECT, 302, "to"));
    forms.push(Form::new("", REFUSAL, 503, "full"));
    forms.push(Form::new("", FAILURE, 500, "bad"));
    let bare = forms
        .iter()
        .filter(|form| form.interim != CONTINUE && form.interim != HINTS);
    let bare: Vec<_> = bare.map(Form::with_bare_line_ends).collect();
    forms.extend(bare);
    forms
}

/// An upstream that cuts its responses where the paths of their requests say, and counts these by path.
struct Upstream {
    address: SocketAddr,
    requests: Arc<Mutex<HashMap<String, usize>>>,
}

impl Upstream {
    fn start(forms: &Arc<Vec<Form>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::<Mutex<HashMap<_, _>>>::default();
        let (forms, counted) = (Arc::clone(forms), Arc::clone(&requests));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (forms, counted) = (Arc::clone(&forms), Arc::clone(&counted));
                thread::spawn(move || serve(stream, &forms, &counted));
            }
        });
        Self { address, requests }
    }
}

/// Responds to the requests of a connection until a cut one: `/cut/FORM/BYTES/RESETS`.
fn serve(mut stream: TcpStream, forms: &[Form], counted: &Mutex<HashMap<String, usize>>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(path) = read_request(&mut reader) {
        *counted.lock().unwrap().entry(path.clone()).or_default() += 1;
        let parts: Vec<_> = path.split('/').collect();
        if parts[1] != "cut" {
            let _written = stream.write_all(SOUND.as_bytes());
            continue;
        }
        let number = |at: usize| parts[at].parse::<usize>().unwrap();
        let bytes = forms[number(2)].bytes();
        let _written = stream.write_all(&bytes.as_bytes()[..number(3)]);
        if number(4) == 1 {
            let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            linger.unwrap();
        }
        return;
    }
}

/// Reads a request; returns its path.
fn read_request(reader: &mut impl BufRead) -> Option<String> {
    let (mut path, mut len) = (None, 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            len = value.trim().parse().unwrap();
        }
        path = path.or_else(|| line.split(' ').nth(1).map(ToOwned::to_owned));
    }
    reader.read_exact(&mut vec![0; len]).ok()?;
    path
}

/// What a caller of an upstream gets.
#[derive(Debug, Default)]
struct Answer {
    head: Option<(u16, bool)>,
    body: String,
    asks_for_backoff: bool,
    is_done: bool,
    is_reached: bool,
}

fn call(clients: &Clients, is_repeatable: bool, address: SocketAddr, path: &str) -> Answer {
    let (tx, mut parts) = mpsc::channel(32);
    UpstreamCall {
        agent: clients.for_call(is_repeatable),
        address,
        attempt: AttemptId {
            entry: Incarnation(1),
            request: 1,
            attempt: 0,
        },
        call: Call {
            method: "POST".into(),
            path: path.into(),
            content_type: None,
            idempotency_key: None,
            body: b"{}".to_vec(),
            stream: false,
        },
        deadline: DEADLINE,
        cancelled: Arc::new(AtomicBool::new(false)),
        parts: tx,
        resume_from: 0,
    }
    .run();
    let mut answer = Answer {
        is_reached: true,
        ..Answer::default()
    };
    while let Some(part) = parts.blocking_recv() {
        match part {
            ResponsePart::NotReached => answer.is_reached = false,
            ResponsePart::Head {
                status,
                ends_with_connection,
                ..
            } => answer.head = Some((status, ends_with_connection)),
            ResponsePart::BackoffRequested(_) => answer.asks_for_backoff = true,
            ResponsePart::Chunk { data, .. } => {
                answer.body.push_str(std::str::from_utf8(&data).unwrap());
            }
            ResponsePart::Done => answer.is_done = true,
            ResponsePart::Usage(_) | ResponsePart::Failed(_) => {}
        }
    }
    answer
}

/// What is wrong with the answer to a request whose response was cut after as many bytes.
fn fault(form: &Form, cut: usize, answer: &Answer) -> Option<&'static str> {
    let is_in_head = cut < form.head_len();
    match answer.head {
        _ if !answer.is_reached => Some("counts as not sent"),
        _ if is_in_head && answer.asks_for_backoff => Some("takes a part of a head for a refusal"),
        Some(_) if is_in_head => Some("takes a part of a head for a response"),
        Some((status, _)) if status != form.status => Some("has another status"),
        Some(_) if answer.is_done && answer.body == form.body => None,
        // Nothing tells the caller that the body is complete.
        Some((_, true)) if answer.is_done && form.body.starts_with(&answer.body) => None,
        _ if answer.is_done => Some("takes a part of a response for the whole"),
        _ => None,
    }
}

/// Calls all forms at all cuts, and returns what is wrong.
fn call_all(forms: &Arc<Vec<Form>>, is_repeatable: bool) -> Vec<String> {
    let upstream = Upstream::start(forms);
    let cuts = (0..forms.len()).flat_map(|n| {
        let cuts = 0..forms[n].bytes().len();
        cuts.flat_map(move |cut| [(n, cut, 0), (n, cut, 1)])
    });
    let cuts: Vec<_> = cuts.collect();
    let faults = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for part in cuts.chunks(cuts.len().div_ceil(CALLERS)) {
            let (faults, upstream) = (&faults, &upstream);
            scope.spawn(move || {
                let clients = Clients::new();
                for &(n, cut, resets) in part {
                    if is_repeatable {
                        // Leaves a connection on which the next call is sent.
                        let sound = call(&clients, true, upstream.address, "/sound");
                        assert!(sound.is_done, "{sound:?}");
                    }
                    let path = format!("/cut/{n}/{cut}/{resets}");
                    let answer = call(&clients, is_repeatable, upstream.address, &path);
                    let sent = upstream.requests.lock().unwrap().get(&path).copied();
                    let what = fault(&forms[n], cut, &answer).or_else(|| {
                        let is_sent_again = !is_repeatable && sent != Some(1);
                        is_sent_again.then_some("is not sent once")
                    });
                    if let Some(what) = what {
                        let bytes = &forms[n].bytes()[..cut];
                        let fault = format!("{bytes:?}, resets {resets}, {what}: {answer:?}");
                        faults.lock().unwrap().push(fault);
                    }
                }
            });
        }
    });
    println!("{} cuts", cuts.len());
    faults.into_inner().unwrap()
}

/// Guards against a part of a response, or of its head, that an order or a call is answered with, and that the ledger
/// would replay.
#[googletest::test]
fn a_response_that_is_cut_at_any_byte_is_not_taken_for_a_whole_one() {
    let forms = Arc::new(forms());
    for is_repeatable in [false, true] {
        let faults = call_all(&forms, is_repeatable);
        let first: Vec<_> = faults.iter().take(5).collect();
        expect_that!(
            faults.len(),
            eq(0),
            "repeatable {is_repeatable}: {first:#?}"
        );
    }
}

/// Guards against a whole response that counts as a cut one.
#[googletest::test]
fn a_response_that_is_cut_after_its_last_byte_is_whole() {
    let forms = Arc::new(forms());
    let upstream = Upstream::start(&forms);
    for (n, form) in forms.iter().enumerate() {
        let path = format!("/cut/{n}/{}/0", form.bytes().len());
        let answer = call(&Clients::new(), false, upstream.address, &path);
        let status = answer.head.map(|(status, _)| status);
        let what = format!("{:?}: {answer:?}", form.bytes());
        expect_that!(status, some(eq(form.status)), "{what}");
        expect_that!(answer.body, eq(form.body), "{what}");
        expect_true!(answer.is_done, "{what}");
    }
}
