//! The edge proxy's handle on its member: it sends instructions and reads the last published view. Neither
//! waits for the member's thread.

use super::{OpenStore, Runtime, SharedView, WAKE_TOKEN};
use crate::federation::settings::{FederationSettings, FixedSetting};
use crate::federation::store::Store;
use crate::federation::view::View;
use crate::net::Net;
use mio::net::UnixStream;
use std::io::{self, Write};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

/// An instruction from the edge proxy to its member.
pub(super) enum Instruction {
    /// Release the leases, transfer leadership and end the thread.
    Stop,
    /// Release the leases, transfer leadership and close the store, so that a newer process can open it.
    Pause,
    /// Open the store again after [`Instruction::Pause`].
    Resume,
    /// Apply these settings.
    Reload(Box<FederationSettings>),
}

/// A handle on the thread that runs the member; see [`Handle::start`].
pub struct Handle {
    instructions: Sender<Instruction>,
    wake: UnixStream,
    view: SharedView,
    thread: Option<JoinHandle<()>>,
    settings: FederationSettings,
}

impl Handle {
    /// Starts the member on a new thread. If its store or address cannot be used, the view and the log report
    /// this, and the member retries.
    ///
    /// # Errors
    ///
    /// The system cannot create a thread, poll or socket pair.
    pub fn start(settings: FederationSettings, seed: u64) -> io::Result<Self> {
        let open_store =
            |settings: &FederationSettings| Store::open(&settings.store, &settings.cluster, settings.id);
        Self::start_with(settings, seed, Box::new(open_store))
    }

    /// Like [`Handle::start`], with another function to open the store.
    pub(super) fn start_with(
        settings: FederationSettings,
        seed: u64,
        open_store: OpenStore,
    ) -> io::Result<Self> {
        let (wake, mut wake_pipe) = UnixStream::pair()?;
        let (instructions, received) = channel();
        let view = Arc::new(Mutex::new(Arc::new(View::default())));
        let mut net = Net::new()?;
        net.watch(&mut wake_pipe, WAKE_TOKEN)?;
        let mut runtime = Runtime::new(settings.clone(), net, seed, view.clone(), open_store);
        let run = move || runtime.run(&received, &mut wake_pipe);
        let thread = Some(std::thread::Builder::new().name("federation".into()).spawn(run)?);
        Ok(Handle { instructions, wake, view, thread, settings })
    }

    fn instruct(&mut self, instruction: Instruction) {
        if self.instructions.send(instruction).is_ok() {
            let _ = self.wake.write(&[1]); // ignored: if the pipe is full, the thread wakes anyway
        }
    }

    /// Tells the member to release its leases, transfer its leadership and end. Does not wait for it; see
    /// [`Handle::join`].
    pub fn stop(&mut self) {
        self.instruct(Instruction::Stop);
    }

    /// Tells the member to release its leases, transfer its leadership and close its store, so that a newer
    /// process can open it.
    pub fn pause(&mut self) {
        self.instruct(Instruction::Pause);
    }

    /// Tells a paused member to open its store again and start.
    pub fn resume(&mut self) {
        self.instruct(Instruction::Resume);
    }

    /// Checks that new settings can be applied without a restart.
    ///
    /// # Errors
    ///
    /// Returns the first changed setting that needs a restart.
    pub fn check(&self, settings: &FederationSettings) -> Result<(), FixedSetting> {
        self.settings.first_fixed_change(settings).map_or(Ok(()), Err)
    }

    /// Applies new settings that [`Handle::check`] has accepted.
    pub fn reload(&mut self, settings: FederationSettings) {
        self.settings = settings.clone();
        self.instruct(Instruction::Reload(Box::new(settings)));
    }

    /// Returns the view that the member published last.
    pub fn view(&self) -> Arc<View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Joins the thread if it has ended.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take_if(|thread| thread.is_finished()) {
            let _ = thread.join(); // panics are caught and reported in the thread
        }
    }
}
