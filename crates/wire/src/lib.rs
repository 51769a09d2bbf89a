//! Messages between the fleet's own processes, and their codec.
//!
//! A connection between two processes carries one control stream of [`Message`] frames in order, and
//! one stream per attempt: it opens with a [`Begin`] frame from the entry and carries
//! [`AttemptReply`] frames back, so a slow answer holds up no other. Frames are a length and a
//! `postcard` body. What a role may send is decided by [`Message::may_be_sent_by`], checked against
//! the certificate of the connection before a message reaches any logic.

pub mod announce;
mod attempt;
mod codec;
mod crash;
mod directory;
mod hello;
mod message;
mod relay;
mod upstream;
mod waits;

pub use attempt::{
    AttemptId, AttemptReply, Begin, BeginCause, Call, FailReason, NotStartedReason, Run, Usage,
};
pub use codec::{CodecError, MAX_FRAME_BYTES, Split, decode, encode, split_frame};
pub use crash::{ContentKey, CrashNews, CrashRef};
pub use directory::{HostRecord, ServedPool};
pub use hello::{Hello, WIRE_VERSION};
pub use message::Message;
pub use relay::{
    ConfigBody, FromRelay, Heartbeat, MembersError, ProposeError, ServiceBatch, ToRelay,
};
pub use upstream::{
    AccountUse, BreakWord, LoadWord, PartUse, UpstreamSign, UpstreamStage, UpstreamUse,
    UpstreamWord,
};
pub use waits::{AccountWait, FromSidecar, ToSidecar};

/// The messages that nearly every module of the daemons needs.
pub mod prelude {
    pub use crate::{AttemptId, AttemptReply, Begin, FromSidecar, Message, Run, ToSidecar, Usage};
}
