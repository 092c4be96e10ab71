//! Bounded queues to tasks.

use tokio::sync::{mpsc, oneshot};

use crate::event::Event;

/// Messages that may wait for one task.
const MAILBOX_CAPACITY: usize = 16 * 1024;

/// Sends messages to one task.
pub struct Mailbox<T> {
    task: &'static str,
    sender: mpsc::Sender<T>,
}

impl<T> Mailbox<T> {
    /// A mailbox of the named task, and the end that the task reads.
    pub fn new(task: &'static str) -> (Self, mpsc::Receiver<T>) {
        let (sender, receiver) = mpsc::channel(MAILBOX_CAPACITY);
        (Self { task, sender }, receiver)
    }

    /// Sends without waiting; a message to a task that is too slow is dropped and logged.
    pub fn post(&self, message: T) {
        if let Err(mpsc::error::TrySendError::Full(_)) = self.sender.try_send(message) {
            Event::QueueFull { task: self.task }.log();
        }
    }

    /// Asks for an answer; `None` when the task has ended.
    pub async fn ask<A>(&self, message: impl FnOnce(oneshot::Sender<A>) -> T) -> Option<A> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(message(reply)).await.ok()?;
        answer.await.ok()
    }
}

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Self {
        Self {
            task: self.task,
            sender: self.sender.clone(),
        }
    }
}
