mod speed;
