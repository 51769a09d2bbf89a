//! Messages between the fleet's own processes, and their codec.
//!
//! A connection between two processes has one control stream of [`Message`] frames, in order, and a
//! stream for each attempt, so that a slow response blocks no other. An attempt's stream starts
//! with an [`OpenAttempt`] frame from the entry; the sidecar replies with [`AttemptReply`] frames.
//! A frame is a length and a `postcard` body. Receivers check every message with
//! [`Message::may_be_sent_by`] against the role in the peer's certificate before they handle it.

pub mod announce;
mod attempt;
mod codec;
mod crash;
mod directory;
mod hello;
mod late_binding;
mod message;
mod relay;
mod retries;
mod upstream;

pub use attempt::{
    AttemptId, AttemptReply, Call, FailReason, NotStartedReason, OpenAttempt, OpenCause, Run, Usage,
};
pub use codec::{CodecError, MAX_FRAME_BYTES, SplitFrame, decode, encode, split_frame};
pub use crash::{ContentKey, CrashRef, UpstreamCrash};
pub use directory::{HostRecord, ServedPool};
pub use hello::{Hello, WIRE_VERSION};
pub use late_binding::{AccountWait, FromSidecar, ToSidecar};
pub use message::Message;
pub use relay::{
    ConfigBody, FromRelay, Heartbeat, MembersError, ProposeError, ServiceBatch, ToRelay,
};
pub use retries::{EarlierRun, RetryBucket, RetryHistory, RetryReport, ServiceRetries};
pub use upstream::{
    AbortRecord, AccountDemand, BegunStreams, CrashReport, CrashSuspects, EntryLoadReport,
    LoadChanges, RefusedContent, SegmentGroup, SegmentRecord, SegmentReport, StreamOriginRecord,
    UpstreamKeepAlive, UpstreamRecord, UpstreamStage, UpstreamUsage, VersionReport,
};

/// Commonly used messages.
pub mod prelude {
    pub use crate::{
        AttemptId, AttemptReply, FromSidecar, Message, OpenAttempt, Run, ToSidecar, Usage,
    };
}
