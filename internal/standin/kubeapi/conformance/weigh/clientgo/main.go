// Command clientgo reads all endpoint slices of a namespace with client-go's informer, keeps their endpoints and prints
// what that takes: the yardstick of the design note.
package main

import (
	"context"
	"fmt"
	"os"

	"curlewmux/internal/standin/kubeapi/conformance/weigh"

	discoveryv1 "k8s.io/api/discovery/v1"
	"k8s.io/client-go/informers"
	"k8s.io/client-go/kubernetes"
	"k8s.io/client-go/rest"
)

func main() {
	c, err := kubernetes.NewForConfig(&rest.Config{Host: os.Args[1]})
	if err != nil {
		panic(err)
	}
	f := informers.NewSharedInformerFactoryWithOptions(c, 0, informers.WithNamespace("partners"))
	informer := f.Discovery().V1().EndpointSlices().Informer()
	f.Start(context.Background().Done())
	f.WaitForCacheSync(context.Background().Done())
	weigh.Print(func() string {
		n := 0
		for _, o := range informer.GetStore().List() {
			n += len(o.(*discoveryv1.EndpointSlice).Endpoints)
		}
		return fmt.Sprint(n)
	})
}
