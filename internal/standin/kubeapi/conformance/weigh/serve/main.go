// Command serve is the stand-in API server with as many endpoints as its argument says, 100 to a slice; it prints its
// address and runs until it is ended.
package main

import (
	"fmt"
	"os"
	"strconv"

	"curlewmux/internal/standin/kubeapi"
)

func main() {
	n, err := strconv.Atoi(os.Args[1])
	if err != nil {
		panic(err)
	}
	s, err := kubeapi.Start(kubeapi.Options{})
	if err != nil {
		panic(err)
	}
	for i := 0; i < n; i += 100 {
		e := kubeapi.EndpointSlice{
			Namespace: "partners", Name: fmt.Sprintf("archive-%05d", i/100), AddressType: "IPv4",
			Labels: map[string]string{"kubernetes.io/service-name": "archive"},
			Ports:  []kubeapi.Port{{Name: "http", Port: 80, Protocol: "TCP"}},
		}
		for j := i; j < min(n, i+100); j++ {
			e.Endpoints = append(e.Endpoints, kubeapi.Pod(fmt.Sprintf("0b0a5b0e-1111-4444-8888-%012d", j), fmt.Sprintf("10.%d.%d.%d", j>>16, j>>8&255, j&255), "east", true, false))
		}
		s.Put(e)
	}
	fmt.Println(s.URL())
	select {}
}
