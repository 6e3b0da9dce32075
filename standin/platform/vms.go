package platform

import (
	"net/http"
	"strconv"
	"time"

	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/membership/wire"
)

// SetVMs adds VMs to the list or replaces the rows of those listed.
func (s *Server) SetVMs(vms ...membership.VM) {
	s.list.change(func(rows []wire.VM) []wire.VM {
		for _, vm := range vms {
			rows = put(rows, wire.FromVM(vm))
		}
		return rows
	})
}

// RemoveVMs takes VMs from the list.
func (s *Server) RemoveVMs(ids ...string) {
	s.list.change(func(rows []wire.VM) []wire.VM {
		return without(rows, ids)
	})
}

// SetListLag sets how long a change stays hidden.
func (s *Server) SetListLag(lag time.Duration) {
	s.list.setLag(lag)
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	if s.KV().InOutage() {
		http.Error(w, "platform is out", http.StatusServiceUnavailable)
		return
	}
	list := s.list.visible()
	known := r.URL.Query().Get(wire.QueryKnown)
	if known == strconv.FormatUint(list.Sequence, 10) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, list)
}
