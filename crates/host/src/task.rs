//! Tasks that are cancelled with their owner.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::task::{JoinError, JoinHandle, spawn_local};

/// Handle of a task that is cancelled when the handle is dropped.
#[derive(Debug)]
pub struct OwnedTask<Output>(JoinHandle<Output>);

impl<Output> OwnedTask<Output>
where
    Output: 'static,
{
    /// Spawns a task on the current thread.
    pub fn spawn<Work>(work: Work) -> Self
    where
        Work: Future<Output = Output> + 'static,
    {
        Self(spawn_local(work))
    }
}

impl<Output> Future for OwnedTask<Output> {
    type Output = Result<Output, JoinError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.0).poll(cx)
    }
}

impl<Output> Drop for OwnedTask<Output> {
    fn drop(&mut self) {
        self.0.abort();
    }
}
