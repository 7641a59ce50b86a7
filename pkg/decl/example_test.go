package decl_test

import (
	"fmt"
	"os"

	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// A consortium has price feeds, which stay open for hours, and sheet downloads.
func Example_feeds() {
	limits := decl.WithLimits(decl.Limits{Slots: 4, Connections: 2000})
	d := decl.New("consorcio").
		Place("recife", "nordeste").
		Place("fortaleza", "nordeste").
		Place("salvador", "nordeste").
		Service("listas", "10.20.0.1:443", decl.Streams("/feeds/"), limits).
		Service("fichas", "10.20.0.2:443", decl.Streams("/sheets/"), limits)
	for _, l := range decl.Differences(nil, d) {
		fmt.Println(l)
	}
	// Output:
	// + place recife: region nordeste
	// + place fortaleza: region nordeste
	// + place salvador: region nordeste
	// + service listas: address 10.20.0.1:443, slots 4, queue 64, connections 2000, requestBytes 1048576, streamPaths /feeds/
	// + service fichas: address 10.20.0.2:443, slots 4, queue 64, connections 2000, requestBytes 1048576, streamPaths /sheets/
}

// A company tests a new release with a share of the map traffic: upstreams of the
// group "next" have a tenth of the usual weight.
func Example_shares() {
	limits := decl.WithLimits(decl.Limits{Slots: 5, Connections: 2000})
	decl.New("ezelpad").
		Place("namur-a", "wallonia").
		Place("namur-b", "wallonia").
		Place("liege-c", "wallonia").
		Service("trek", "10.30.0.1:443", limits).
		Service("map", "10.30.0.2:443", decl.GroupShare("next", 0.1), limits).
		Print(os.Stdout)
	// Output:
	// {
	//   "name": "ezelpad",
	//   "places": [
	//     {
	//       "name": "namur-a",
	//       "region": "wallonia"
	//     },
	//     {
	//       "name": "namur-b",
	//       "region": "wallonia"
	//     },
	//     {
	//       "name": "liege-c",
	//       "region": "wallonia"
	//     }
	//   ],
	//   "services": [
	//     {
	//       "name": "trek",
	//       "address": "10.30.0.1:443",
	//       "limits": {
	//         "slots": 5,
	//         "connections": 2000
	//       }
	//     },
	//     {
	//       "name": "map",
	//       "address": "10.30.0.2:443",
	//       "shares": [
	//         {
	//           "group": "next",
	//           "weight": 0.1
	//         }
	//       ],
	//       "limits": {
	//         "slots": 5,
	//         "connections": 2000
	//       }
	//     }
	//   ]
	// }
}
