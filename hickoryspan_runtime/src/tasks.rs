//! Waiting for the tasks that a parent has spawned.

use tokio::task::JoinSet;

/// Waits until all tasks have ended. It may be called again after it was cancelled.
pub async fn join_all(tasks: &mut JoinSet<()>) {
    while tasks.join_next().await.is_some() {}
}
