package settings_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/settings"
)

const validSettings = `{"vm":"entry-1","data_centre":"rvk-1","caller_address":"10.0.0.1:7000","admin_address":"10.0.0.1:7001",
"peer_address":"10.0.0.1:7002","platform":{"object_api":"10.0.1.1:80","vm_list":"10.0.1.1:81","weight_store":"10.0.1.1:82"}}`

func TestDefaultsFillWhatIsLeftOut(t *testing.T) {
	s, err := settings.Parse("s.json", []byte(validSettings))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.HeartbeatMS, qt.Equals, 250)
	qt.Check(t, s.Listen.Peer, qt.Equals, "10.0.0.1:7002")
	qt.Check(t, s.PlacesPolicy, qt.Equals, settings.PlacesShared)
}

func TestFaultySettingsNameTheField(t *testing.T) {
	cases := []struct{ from, to, expect string }{
		{`"vm":"entry-1",`, ``, "missing property 'vm'"},
		{`"data_centre":"rvk-1",`, ``, "missing property 'data_centre'"},
		{`"vm":"entry-1"`, `"vm":"entry-1","colour":1`, "additional properties 'colour' not allowed"},
		{`10.0.0.1:7000`, `entry-1:7000`, "/caller_address"},
		{`10.0.0.1:7000`, `10.0.0.1:70000`, "/caller_address"},
		{`10.0.0.1:7000`, `10.0.0.999:7000`, "/caller_address"},
		{`"vm":"entry-1"`, `"vm":"entry-1","heartbeat_ms":"quick"`, "/heartbeat_ms"},
	}
	for _, c := range cases {
		_, err := settings.Parse("s.json", []byte(strings.Replace(validSettings, c.from, c.to, 1)))
		qt.Check(t, err, qt.ErrorMatches, `(?s)s\.json: .*`+c.expect+`.*`)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := settings.Parse("s.json", content)
		if err == nil && (s.VM == "" || s.Heartbeat() <= 0 || s.EvidenceLifetime() <= 0) {
			t.Fatalf("%s was parsed as %+v", content, s)
		}
	})
}

const validGateway = `{"vm":"vm-1","data_centre":"z1","region":"r1","caller_address":"10.0.0.1:1","readiness_address":"10.0.0.1:2",
"registry_address":"10.0.0.1:3","peer_address":"10.0.0.1:4","store_address":"10.0.0.1:5","credential_proof_ms":2000,"grace_ms":5000,
"address_lifetime_ms":1000,"repeat_ratio":0.2,"repeat_slack":5,"repeat_window_ms":10000}`

// Guards against a budget where no memory is configured, and against shares that leave no memory to the process.
func TestMemoryBudgetFollowsTheVMsMemory(t *testing.T) {
	s, err := settings.ParseGateway("s.json", []byte(validGateway))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.HeldBytes(), qt.Equals, int64(0))
	with := func(fields string) []byte { return []byte(strings.Replace(validGateway, `{`, `{`+fields+`,`, 1)) }
	s, err = settings.ParseGateway("s.json", with(`"memory_mb":200,"held_share":0.5`))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.HeldBytes(), qt.Equals, int64(100<<20))
	qt.Check(t, s.HeldRequestBytes(), qt.Equals, int64(25<<20))
	for _, f := range []struct{ name, value string }{
		{"memory_mb", "0"}, {"memory_mb", "15"}, {"memory_mb", "1.5"}, {"held_share", "0"}, {"held_share", "1"}, {"held_request_share", "1.1"},
	} {
		_, err := settings.ParseGateway("s.json", with(`"`+f.name+`":`+f.value))
		qt.Check(t, err, qt.ErrorMatches, `(?s)s\.json: .*/`+f.name+`.*`, qt.Commentf(f.value))
	}
}

// Guards against a stall time that cuts every caller, or none.
func TestStallTimeIsChecked(t *testing.T) {
	s, err := settings.ParseGateway("s.json", []byte(validGateway))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Stall(), qt.Equals, 5*time.Second)
	for _, value := range []string{"0", "-1", "199", "600001", `"5s"`} {
		_, err := settings.ParseGateway("s.json", []byte(strings.Replace(validGateway, `{`, `{"stall_ms":`+value+`,`, 1)))
		qt.Check(t, err, qt.ErrorMatches, `(?s)s\.json: .*/stall_ms.*`, qt.Commentf(value))
	}
}

// Guards against a node that does not start because the grace period is zero or no whole number of seconds.
func TestAnyGracePeriodIsAccepted(t *testing.T) {
	for text, want := range map[string]time.Duration{"0": 0, "0e3": 0, "0.25e3": 250 * time.Millisecond, "2.5e3": 2500 * time.Millisecond, "8e3": 8 * time.Second, "60000": time.Minute} {
		s, err := settings.ParseGateway("s.json", []byte(strings.Replace(validGateway, `"grace_ms":5000`, `"grace_ms":`+text, 1)))
		qt.Assert(t, err, qt.IsNil, qt.Commentf(text))
		qt.Check(t, s.Grace(), qt.Equals, want, qt.Commentf(text))
	}
	_, err := settings.ParseGateway("s.json", []byte(strings.Replace(validGateway, `"grace_ms":5000`, `"grace_ms":-1`, 1)))
	qt.Check(t, err, qt.ErrorMatches, `(?s).*/grace_ms.*`)
}
