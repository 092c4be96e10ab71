//! Every decision of monsoonspread, as state machines without sockets, clocks or tasks.
