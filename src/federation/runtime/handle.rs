//! The edge proxy's handle on its member: instructions go in, the last published view comes out, and neither waits.

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

/// An instruction of the edge proxy to its member.
pub(super) enum Instruction {
    /// Hand over what is held and end the thread.
    Stop,
    /// Hand over what is held and close the store: a newer process takes it.
    Pause,
    /// Open the store again after [`Instruction::Pause`].
    Resume,
    /// Apply these settings.
    Reload(Box<FederationSettings>),
}

/// The edge proxy's handle on its member.
pub struct Handle {
    instructions: Sender<Instruction>,
    wake: UnixStream,
    view: SharedView,
    thread: Option<JoinHandle<()>>,
    settings: FederationSettings,
}

impl Handle {
    /// Starts the member. A store or an address that cannot be used is reported by the view and the log, and retried.
    ///
    /// # Errors
    ///
    /// The system gives no thread, poll or socket pair.
    pub fn start(settings: FederationSettings, seed: u64) -> io::Result<Self> {
        let open_store =
            |settings: &FederationSettings| Store::open(&settings.store, &settings.cluster, settings.id);
        Self::start_with(settings, seed, Box::new(open_store))
    }

    /// Starts the member with a store that is opened by `open_store`.
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
            let _ = self.wake.write(&[1]); // a full pipe wakes it, too
        }
    }

    /// Hands over what this member holds and ends it, soon.
    pub fn stop(&mut self) {
        self.instruct(Instruction::Stop);
    }

    /// Hands over what this member holds and closes the store: a newer process takes it.
    pub fn pause(&mut self) {
        self.instruct(Instruction::Pause);
    }

    /// Opens the store again.
    pub fn resume(&mut self) {
        self.instruct(Instruction::Resume);
    }

    /// Checks that new settings can be applied in service.
    ///
    /// # Errors
    ///
    /// The first setting that cannot change.
    pub fn check(&self, settings: &FederationSettings) -> Result<(), FixedSetting> {
        self.settings.first_fixed_change(settings).map_or(Ok(()), Err)
    }

    /// Applies new settings that [`Handle::check`] has accepted.
    pub fn reload(&mut self, settings: FederationSettings) {
        self.settings = settings.clone();
        self.instruct(Instruction::Reload(Box::new(settings)));
    }

    /// The view that was published last.
    pub fn view(&self) -> Arc<View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Joins the thread if it has ended.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take_if(|thread| thread.is_finished()) {
            let _ = thread.join(); // its panics are caught and reported
        }
    }
}
