package fulmarsched

// serviceIndex holds the executors and the active jobs by service, so that a decision about one
// service costs nothing for the others.
type serviceIndex struct {
	executors map[string][]*executor
	jobs      map[string][]*job
}

// services returns the index. It is built again after a change of an executor's entry, of the
// configuration, or of the set of active jobs.
func (s *Scheduler) services() *serviceIndex {
	if s.serviceIndex != nil {
		return s.serviceIndex
	}
	index := &serviceIndex{executors: map[string][]*executor{}, jobs: map[string][]*job{}}
	for _, e := range s.executorList {
		index.executors[e.info.Service] = append(index.executors[e.info.Service], e)
	}
	for _, j := range s.activeJobs {
		index.addJob(j)
	}
	s.serviceIndex = index
	return index
}

func (i *serviceIndex) addJob(j *job) {
	i.jobs[j.queue.Service] = append(i.jobs[j.queue.Service], j)
}
