mod concurrency;
mod speed;
