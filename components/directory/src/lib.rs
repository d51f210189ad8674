//! Directory of live nodes, kept from announcements.
