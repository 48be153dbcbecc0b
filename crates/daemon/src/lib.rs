//! `cicadawickd`: the shell that feeds a node from sockets and timers.
