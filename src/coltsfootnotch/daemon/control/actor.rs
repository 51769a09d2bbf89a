//! Starts the control daemon and runs its actor on the event loop.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{self, SyncSender};
use std::time::Duration;

use coltsfootnotch_consensus::storage::{FileOpOutcome, Storage, StorageConfig};
use coltsfootnotch_consensus::{DiskId, MemberId, Recovered};
use coltsfootnotch_fabric::{Endpoint, PeerId, Traffic};
use coltsfootnotch_membership::{Epoch, RelayId};
use coltsfootnotch_types::{HostName, Role};
use stakker::sync::{Channel, ChannelGuard};
use stakker::{
    ActorOwn, CX, MinTimerKey, Stakker, StopCause, actor_new, call, fwd_to, ret_nop, stop,
    timer_min,
};

use super::daemon::{ControlDaemon, NextStep, Saved};
use super::disk::Disk;
use super::handle::Shared;
use super::input::Input;
use super::{ControlConfig, ControlError, ControlHandle, address_file, epoch, version_file};
use crate::core::HostCx;
use crate::util::{event_loop, events};

/// Folder of the replicated log within the data folder.
const LOG_FOLDER: &str = "log";

/// Starts a control daemon.
///
/// # Errors
/// Returns an error when the identity does not fit, the data folder can't be used or is damaged, or
/// the address can't be bound.
pub fn start(cx: HostCx, cfg: ControlConfig) -> Result<ControlHandle, ControlError> {
    check_identity(&cx, &cfg)?;
    let (started, starting) = mpsc::sync_channel(1);
    let shared = Arc::new(Shared::default());
    let loop_shared = Arc::clone(&shared);
    let thread = event_loop::spawn("control", move |stakker| {
        run(stakker, &cx, cfg, loop_shared, &started)
    })
    .map_err(ControlError::Thread)?;
    let stopped = || ControlError::Thread(io::Error::other("the daemon's thread has stopped"));
    let parts = starting.recv().map_err(|_| stopped())??;
    Ok(ControlHandle {
        address: parts.address,
        traffic: parts.traffic,
        channel: parts.channel,
        shared,
        thread,
    })
}

/// Values for the [`ControlHandle`] of a started daemon.
struct Started {
    address: SocketAddr,
    traffic: Arc<Traffic>,
    channel: Channel<Input>,
}

fn check_identity(cx: &HostCx, cfg: &ControlConfig) -> Result<(), ControlError> {
    let me = PeerId {
        role: Role::Control,
        host: cx.identity.host.clone(),
    };
    if *cfg.credentials.peer() != me || cx.identity.role != Role::Control {
        return Err(ControlError::OtherIdentity);
    }
    if cfg.seeds.is_none() && !cfg.members.iter().any(|m| m.host == me.host) {
        return Err(ControlError::NotListed);
    }
    Ok(())
}

fn run(
    stakker: &mut Stakker,
    cx: &HostCx,
    cfg: ControlConfig,
    shared: Arc<Shared>,
    started: &SyncSender<Result<Started, ControlError>>,
) -> ActorOwn<ControlActor> {
    let actor = actor_new!(stakker, ControlActor, ret_nop!());
    let (channel, guard) = Channel::new(stakker, fwd_to!([actor], input() as (Input)));
    match open(cx, cfg, &channel) {
        Ok((daemon, parts)) => {
            cx.log(&events::DAEMON_STARTED, &[("address", &parts.address)]);
            call!([actor], ControlActor::init(daemon, shared, guard));
            let _ = started.send(Ok(parts));
        }
        Err(e) => {
            if e.is_corrupt() {
                cx.log(&events::STORAGE_CORRUPT, &[("error", &error_chain(&e))]);
            }
            let _ = started.send(Err(e));
            stakker.shutdown(StopCause::Stopped);
        }
    }
    actor
}

/// Opens the data folder and the fleet endpoint, and connects both to the actor's channel.
fn open(
    cx: &HostCx,
    mut cfg: ControlConfig,
    channel: &Channel<Input>,
) -> Result<(ControlDaemon, Started), ControlError> {
    let host = cx.identity.host.clone();
    let opened = if cfg.diskless {
        open_diskless(&host)
    } else {
        open_disk(&host, &mut cfg, channel)?
    };
    let to_actor = channel.clone();
    let endpoint = Endpoint::bind(
        &cx.runtime,
        cfg.listen,
        &cfg.credentials,
        cx.identity.incarnation,
        cfg.peer_limits,
        move |event| {
            to_actor.send(Input::Fabric(event));
        },
    )?;
    let parts = Started {
        address: endpoint.address().map_err(ControlError::Thread)?,
        traffic: endpoint.traffic(),
        channel: channel.clone(),
    };
    let relay = RelayId {
        host,
        epoch: opened.epoch,
    };
    let daemon = ControlDaemon::new(
        cx.clone(),
        &cfg,
        opened.recovered,
        relay,
        endpoint,
        opened.disk,
        opened.saved,
    );
    Ok((daemon, parts))
}

/// State recovered from the data folder, and the thread that writes to it.
struct Opened {
    recovered: Recovered,
    epoch: Epoch,
    disk: Disk,
    saved: Saved,
}

fn open_disk(
    host: &HostName,
    cfg: &mut ControlConfig,
    channel: &Channel<Input>,
) -> Result<Opened, ControlError> {
    let storage_cfg = StorageConfig::new(cfg.data.join(LOG_FOLDER), host.clone());
    let fault_injector = cfg.fault_injector.take();
    let fault_injector = fault_injector.unwrap_or_else(|| Box::new(|_| FileOpOutcome::Proceed));
    let (storage, recovered) = Storage::open_with(&storage_cfg, fault_injector, &mut rand::rng())
        .map_err(ControlError::Open)?;
    let epoch = epoch::next(&cfg.data).map_err(ControlError::Epoch)?;
    let saved = Saved {
        addresses: address_file::load(&cfg.data).map_err(ControlError::Addresses)?,
        versions: version_file::load(&cfg.data),
    };
    let to_actor = channel.clone();
    let disk = Disk::spawn(storage, &cfg.data, move |report| {
        to_actor.send(Input::Disk(report));
    })
    .map_err(ControlError::Thread)?;
    Ok(Opened {
        recovered,
        epoch,
        disk,
        saved,
    })
}

/// A host without a disk gets a new member identity at every start.
fn open_diskless(host: &HostName) -> Opened {
    let member = MemberId {
        host: host.clone(),
        disk: DiskId::random(&mut rand::rng()),
    };
    Opened {
        recovered: Recovered::empty(member),
        epoch: Epoch(rand::random()),
        disk: Disk::none(),
        saved: Saved::default(),
    }
}

/// The actor that owns a control daemon's state.
struct ControlActor {
    /// Absent after the daemon has stopped.
    daemon: Option<ControlDaemon>,
    cx: HostCx,
    shared: Arc<Shared>,
    timer: MinTimerKey,
    _guard: ChannelGuard,
}

impl ControlActor {
    fn init(
        cx: CX![],
        daemon: ControlDaemon,
        shared: Arc<Shared>,
        guard: ChannelGuard,
    ) -> Option<Self> {
        let mut actor = Self {
            cx: daemon.host.clone(),
            daemon: Some(daemon),
            shared,
            timer: MinTimerKey::default(),
            _guard: guard,
        };
        actor.set_timer(cx);
        Some(actor)
    }

    fn input(&mut self, cx: CX![], input: Input) {
        let Some(daemon) = &mut self.daemon else {
            return;
        };
        let next = daemon.handle(input);
        self.on_step(cx, next);
    }

    fn tick(&mut self, cx: CX![]) {
        let Some(daemon) = &mut self.daemon else {
            return;
        };
        let next = daemon.tick();
        self.on_step(cx, next);
    }

    fn on_step(&mut self, cx: CX![], next: Result<NextStep, ControlError>) {
        match next {
            Ok(NextStep::Continue) => {
                let ready = self.daemon.as_ref().is_some_and(ControlDaemon::is_ready);
                self.shared.set_ready(ready);
                self.set_timer(cx);
            }
            Ok(NextStep::Stop) => self.shut_down(cx),
            Err(e) => {
                self.log_error(&e);
                self.shared.fail(e);
                self.shut_down(cx);
            }
        }
    }

    fn log_error(&self, error: &ControlError) {
        let event = match error {
            ControlError::Write(_) => &events::SYNC_FAILED,
            _ => &events::STORAGE_CORRUPT,
        };
        self.cx.log(event, &[("error", &error_chain(error))]);
    }

    fn shut_down(&mut self, cx: CX![]) {
        self.shared.set_ready(false);
        if let Some(daemon) = self.daemon.take() {
            daemon.close();
        }
        self.cx.log(&events::DAEMON_STOPPED, &[]);
        cx.shutdown(StopCause::Stopped);
        stop!(cx);
    }

    fn set_timer(&mut self, cx: CX![]) {
        let Some(daemon) = &self.daemon else {
            return;
        };
        let wait = daemon.next_due().saturating_sub(self.cx.now());
        let at = cx.now() + wait.max(MIN_TIMER_DELAY);
        timer_min!(&mut self.timer, at, [cx], tick());
    }
}

/// Shortest timer delay, so that queued messages are handled between two ticks.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);

/// An error followed by its sources.
fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(source) = cause {
        text.push_str(": ");
        text.push_str(&source.to_string());
        cause = source.source();
    }
    text
}
