package frame

import (
	"encoding/binary"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

const (
	flowListSize = 4 + 8 + 2 + 3
	// MaxListedFlows is the maximum number of flows in one part of a FlowList.
	MaxListedFlows = 90
	// maxListParts is the maximum number of parts of a FlowList.
	maxListParts = 255
)

// FlowList is a part of the list of the open flows of an agent's upstream, which the agent leaves
// with balancers when it stops, and which its next run gets back from them.
type FlowList struct {
	// Instance is that of the run of the agent. Version grows with each list of the run.
	Instance ident.Instance
	Version  uint16
	// StartedMillis is the start time of the upstream in Unix milliseconds; 0 if it is not known.
	StartedMillis int64
	// Part is the number of this part, from 0 on, of Parts.
	Part, Parts uint8
	// Complete is set if the upstream holds no other flow.
	Complete bool
	Keys     []flow.Key
}

// Payloads returns the payloads of the Flows frames of a list, one for each part.
func (l *FlowList) Payloads() [][]byte {
	keys := l.Keys[:min(len(l.Keys), maxListParts*MaxListedFlows)]
	parts := max(1, (len(keys)+MaxListedFlows-1)/MaxListedFlows)
	var payloads [][]byte
	for n := range parts {
		b := binary.BigEndian.AppendUint32(nil, uint32(l.Instance))
		b = binary.BigEndian.AppendUint64(b, uint64(l.StartedMillis))
		b = binary.BigEndian.AppendUint16(b, l.Version)
		complete := byte(0)
		if l.Complete && len(keys) == len(l.Keys) {
			complete = 1
		}
		b = append(b, byte(n), byte(parts), complete)
		for _, k := range keys[n*MaxListedFlows : min(len(keys), (n+1)*MaxListedFlows)] {
			b = append(b, k[:]...)
		}
		payloads = append(payloads, b)
	}
	return payloads
}

// FlowList returns the part of a list in a Flows; ok is false if it is malformed.
func (f *Frame) FlowList() (l FlowList, ok bool) {
	const size = len(flow.Key{})
	b := f.Payload
	if len(b) < flowListSize || (len(b)-flowListSize)%size != 0 || len(b) > flowListSize+MaxListedFlows*size {
		return l, false
	}
	l.Instance = ident.Instance(binary.BigEndian.Uint32(b))
	l.StartedMillis = int64(binary.BigEndian.Uint64(b[4:]))
	l.Version = binary.BigEndian.Uint16(b[12:])
	l.Part, l.Parts, l.Complete = b[14], b[15], b[16] == 1
	for b = b[flowListSize:]; len(b) > 0; b = b[size:] {
		l.Keys = append(l.Keys, flow.Key(b))
	}
	return l, l.Part < l.Parts
}
