mod announced_level;
mod concurrency;
mod speed;
