package plat_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/store"
)

// TestKeeperLateRemoval guards an object that its owner has removed and wants again against
// the removal, which gets no answer and is carried out after the object was written again.
func TestKeeperLateRemoval(t *testing.T) {
	s := store.New()
	held := make(chan *http.Request, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodDelete {
			s.ServeHTTP(w, r)
			return
		}
		late := httptest.NewRequest(r.Method, r.URL.String(), http.NoBody)
		late.Header = r.Header.Clone()
		held <- late
		<-r.Context().Done()
	}))
	defer server.Close()
	c := plat.New(server.URL, 200*time.Millisecond)
	k := plat.NewKeeper(c, plat.KindEndpoint, "a")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go k.Run(ctx)
	value := func(writer string) any { return map[string]string{"writer": writer} }
	k.Set(value)
	if !k.Wait(ctx) {
		t.Fatal("not written")
	}
	k.Set(nil)
	late := <-held
	k.Set(value)
	if !k.Wait(ctx) {
		t.Fatal("not written again")
	}
	s.ServeHTTP(httptest.NewRecorder(), late)
	if s.Len(plat.KindEndpoint) != 1 {
		t.Error("the late removal has taken the object away")
	}
}
