//! Links between daemons: documents and hand-over over h2.
