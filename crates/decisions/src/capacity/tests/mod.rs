mod announced_level;
mod speed;
