package control_test

import (
	"fmt"

	"curlewmux/control"
)

// A dispatcher is told what happened and answers with what to do.
func Example() {
	d, err := control.New(control.Settings{
		Instances: 1, Tick: 5 * control.Millisecond, Slots: 4, MaxOpen: 100, MaxTries: 3, ReportLeft: -1, ReportLimit: -1,
		Classes: []control.Class{{Name: "status", Aim: control.Second, Deadline: 10 * control.Second, Worth: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	actions := d.Step(0, []control.Event{
		{Kind: control.List, ListKind: control.ListFull, Entries: []control.Entry{{Endpoint: 42, Destination: 7, Health: control.Ready}}},
		{Kind: control.Arrival, Message: 1, Destination: 7, TimeLeft: 10 * control.Second},
	}, nil)
	for _, a := range actions {
		if a.Kind == control.Send {
			fmt.Println("send message", a.Message, "to endpoint", a.Endpoint)
		}
	}
	// Output: send message 1 to endpoint 42
}
