use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_forward::streams::StreamOrigin;
use coltsfootnotch_wire::VersionReport;
use googletest::prelude::*;
use tokio::sync::oneshot;

use super::{FindOrigin, LOOKUP_TIMEOUT, StreamLookups};

const STREAM: u64 = 7;

fn at(version: &str) -> StreamOrigin {
    StreamOrigin::new("llm", version)
}

/// Answers of control hosts in this order; returns where the stream is, if any answer ends the lookup.
fn answers(answers: &[Option<(StreamOrigin, bool)>]) -> Option<Option<StreamOrigin>> {
    let mut lookups = StreamLookups::default();
    let req = FindOrigin {
        stream: Some(STREAM),
        sole_service: None,
    };
    let (tx, _rx) = oneshot::channel();
    let links = [1, 2, 3].map(LinkId);
    let id = lookups.start(Duration::ZERO, req, tx, links);
    let mut finished = None;
    for (link, answer) in links.into_iter().zip(answers) {
        let versions = VersionReport::default();
        let ended = lookups.on_response(link, id, answer.clone(), versions);
        finished = finished.or(ended);
    }
    let mut ended = finished.or_else(|| lookups.expire(LOOKUP_TIMEOUT).pop())?;
    Some(std::mem::take(&mut ended.origins).origin().cloned())
}

/// Guards against a stream that goes on at the version where it was placed first, since a control host that was out of
/// step as it was placed elsewhere answers before the others.
#[gtest]
fn a_stream_is_where_it_was_placed_last_whichever_control_host_answers_first() {
    let (stale, moved) = (Some((at("v1"), false)), Some((at("v2"), true)));
    for order in [
        [stale.clone(), moved.clone(), moved.clone()],
        [moved.clone(), stale.clone(), stale.clone()],
        [None, stale.clone(), moved.clone()],
    ] {
        expect_that!(answers(&order), some(some(eq(&at("v2")))));
    }
}

/// Guards against a stream that is refused since some control hosts don't know it or don't answer.
#[gtest]
fn one_control_host_that_knows_a_stream_is_enough() {
    let known = Some((at("v1"), false));
    expect_that!(
        answers(&[None, known.clone(), None]),
        some(some(eq(&at("v1"))))
    );
    expect_that!(answers(&[known]), some(some(eq(&at("v1")))));
    expect_that!(answers(&[None, None, None]), some(none()));
}

/// Guards against a guess where control hosts contradict each other.
#[gtest]
fn a_stream_that_control_hosts_place_differently_is_not_known() {
    let [one, two] = ["v1", "v2"].map(|version| Some((at(version), false)));
    expect_that!(answers(&[one, two, None]), some(none()));
}
