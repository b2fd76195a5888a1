//! Service documents in force, which never go back.
