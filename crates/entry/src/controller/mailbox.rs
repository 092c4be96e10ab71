//! Bounded command queues of tasks.

use tokio::sync::{mpsc, oneshot};

use crate::event::Event;

/// Commands that may be queued for one task.
const MAILBOX_CAPACITY: usize = 16 * 1024;

/// Sends commands to one task.
pub struct Mailbox<T> {
    task: &'static str,
    sender: mpsc::Sender<T>,
}

impl<T> Mailbox<T> {
    /// Creates the mailbox of the named task and the receiver that the task reads from.
    pub fn new(task: &'static str) -> (Self, mpsc::Receiver<T>) {
        let (sender, receiver) = mpsc::channel(MAILBOX_CAPACITY);
        (Self { task, sender }, receiver)
    }

    /// Sends without waiting; if the queue is full, the message is dropped and the event logged.
    pub fn post(&self, message: T) {
        if let Err(mpsc::error::TrySendError::Full(_)) = self.sender.try_send(message) {
            Event::QueueFull { task: self.task }.log();
        }
    }

    /// Sends a message and waits for the answer; `None` when the task has ended.
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
