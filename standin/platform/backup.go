package platform

// Backup copies the key-value service, in place of the last copy.
func (s *Server) Backup() {
	snapshot := s.kv.Snapshot()
	s.backup.Store(&snapshot)
}

// Restore puts the service back to the last copy: revisions go back and leases
// end. Without a copy it does nothing.
func (s *Server) Restore() {
	if snapshot := s.backup.Load(); snapshot != nil {
		s.kv.Restore(*snapshot)
	}
}
