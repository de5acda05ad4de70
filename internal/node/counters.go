package node

import "curlewmux/internal/figures"

// counters returns the metrics that are shown beside the ledger.
func (n *Node) counters() []figures.Counter {
	return append(n.endpointCounters(), n.clientCounters()...)
}

// endpointCounters returns the counters of the connections to endpoints.
func (n *Node) endpointCounters() []figures.Counter {
	c := n.transport.Counters()
	counter := func(name, help string, value uint64) figures.Counter {
		return figures.Counter{Family: figures.Family{Name: "curlewmux_connections_" + name, Help: help}, Value: value}
	}
	return []figures.Counter{
		counter("opened", "Connections to endpoints that were opened.", c.Dials),
		counter("failed", "Dials to endpoints that failed.", c.DialsFailed),
		counter("reused", "Requests on a connection that had carried one before.", c.Reused),
		counter("surplus", "Times that an endpoint sent data that was no response to a request.", c.Surplus),
	}
}

// clientCounters returns the counters of the connections of clients to the HTTP front, and the memory in use.
func (n *Node) clientCounters() []figures.Counter {
	c := n.front.Counters()
	metric := func(gauge bool, name, help string, value uint64) figures.Counter {
		return figures.Counter{Family: figures.Family{Name: "curlewmux_" + name, Help: help, Gauge: gauge}, Value: value}
	}
	list := []figures.Counter{
		metric(false, "clients_accepted", "Connections of clients that were accepted.", c.Accepted),
		metric(false, "clients_closed_for_room", "Connections of clients that were closed to make room for others.", c.ClosedForRoom),
		metric(false, "clients_rejected", "Connections of clients that were closed unread, as no other one could make room.", c.Rejected),
		metric(false, "clients_timed_out", "Requests of clients that did not end in time.", c.TimedOut),
		metric(false, "clients_preempted", "Slow requests of clients that were ended to make room for others.", c.Preempted),
		metric(false, "clients_left", "Messages that were not submitted, as their clients had closed the connection.", c.Left),
		metric(false, "clients_errors", "Responses that refuse a request of a client for good.", c.ClientErrors),
		metric(false, "clients_turned_away", "Responses with status 503.", c.TurnedAway),
		metric(true, "clients_open", "Connections of clients that are open.", c.Open),
		metric(true, "clients_incomplete", "Requests of clients that have begun and are not answered.", c.Incomplete),
		metric(true, "clients_input_bytes", "Memory that requests of clients hold until they are answered.", c.InputBytes),
	}
	if resident, err := residentMemory(); err == nil {
		list = append(list, metric(true, "resident_bytes", "Memory of the process that is resident.", uint64(resident)))
	}
	return list
}
