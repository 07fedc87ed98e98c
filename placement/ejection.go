package placement

// InService returns the servers of a service in a failure domain that accept requests, whether or not
// they are ejected.
func (f *Servers) InService(service, domain string) []Server {
	if f.evacuated[domain] {
		return nil
	}
	var list []Server
	for _, s := range f.groupOf(service).list {
		if s.Domain == domain && !s.Leaving {
			list = append(list, s.Server)
		}
	}
	return list
}

// RestoreAll ends the ejections of the servers of a service in a failure domain: they were not reached
// for another cause than their own.
func (f *Servers) RestoreAll(service, domain string) {
	for _, s := range f.groupOf(service).list {
		if s.Domain == domain {
			s.ejected, s.consecutiveUnreachable, s.failureRate = false, 0, 0
		}
	}
}
