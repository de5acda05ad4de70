package endpointslice

import (
	"fmt"
	"strings"
	"testing"
)

// sampleEvent returns a watch event with a slice of n pods, as an API server sends it.
func sampleEvent(n int) []byte {
	var b strings.Builder
	b.WriteString(`{"type":"MODIFIED","object":{"kind":"EndpointSlice","apiVersion":"discovery.k8s.io/v1","metadata":{"name":"archive-abc12","generateName":"archive-","namespace":"partners","uid":"0b0a5b0e-1111-4444-8888-0123456789ab","resourceVersion":"123456","generation":12,"creationTimestamp":"2026-01-01T00:00:00Z","labels":{"endpointslice.kubernetes.io/managed-by":"endpointslice-controller.k8s.io","kubernetes.io/service-name":"archive"},"annotations":{"endpoints.kubernetes.io/last-change-trigger-time":"2026-01-01T00:00:00Z"},"ownerReferences":[{"apiVersion":"v1","kind":"Service","name":"archive","uid":"0b0a5b0e-1111-4444-8888-0123456789ab","controller":true,"blockOwnerDeletion":true}]},"addressType":"IPv4","endpoints":[`)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"addresses":["10.1.%d.%d"],"conditions":{"ready":true,"serving":true,"terminating":false},"targetRef":{"kind":"Pod","namespace":"partners","name":"archive-7d4b9c6f5-x%04d","uid":"0b0a5b0e-1111-4444-8888-%012d"},"nodeName":"node-%d","zone":"east-hall"}`, i/256, i%256, i, i, i%50)
	}
	b.WriteString(`],"ports":[{"name":"http","port":8080,"protocol":"TCP"}]}}`)
	return []byte(b.String())
}

func BenchmarkDecodeEvent(b *testing.B) {
	s := sampleEvent(100)
	b.SetBytes(int64(len(s)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decodeEvent(s, nil); err != nil {
			b.Fatal(err)
		}
	}
}
