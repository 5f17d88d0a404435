package rest_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/infra/rest"
)

// Guards against a node that holds megabytes for each engine that answers a question about its state with bytes without end.
func TestLongAnswersOfEnginesAreNotRead(t *testing.T) {
	state := "{}"
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, state) }))
	t.Cleanup(s.Close)
	engine := rest.NewEngine(httpcall.NewClient(), 10*time.Second)
	_, err := engine.State(context.Background(), s.Listener.Addr().String())
	qt.Check(t, err, qt.IsNil)
	state += strings.Repeat(" ", httpcall.MaxControlBody)
	_, err = engine.State(context.Background(), s.Listener.Addr().String())
	qt.Check(t, err, qt.IsNotNil)
}
