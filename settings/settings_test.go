package settings_test

import (
	"strings"
	"testing"

	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/settings"
)

const validSettings = `
[instance]
id = "r1"
domain = "kyushu-a"

[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:7100"

[platform]
url = "http://127.0.0.1:9000"

[operator]
key_hash = "0000000000000000000000000000000000000000000000000000000000000000"
`

func TestValidSettings(t *testing.T) {
	s, err := settings.Parse("gaplinkd.toml", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Ledger.Shards == 0 || s.Budgets.Hold == 0 {
		t.Fatal("defaults are missing")
	}
}

func TestBadSettingsNameFileLineAndKey(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unknown key":  {validSettings + "\n[ledger]\ncolour = 1\n", "line 17: unknown key ledger.colour"},
		"wrong type":   {validSettings + "\n[ledger]\nshards = \"many\"\n", "line 17: key ledger.shards"},
		"out of range": {validSettings + "\n[ledger]\nshards = 0\n", "line 17: key ledger.shards: 0 is below 1"},
		"bad span":     {validSettings + "\n[budgets]\nhold = \"soon\"\n", "time span"},
		"missing":      {strings.Replace(validSettings, `domain = "kyushu-a"`, "", 1), "missing: key instance.domain: must be set"},
		"bad address":  {strings.Replace(validSettings, "127.0.0.1:7100", "nowhere", 1), "key listen.peers"},
		"bad level":    {validSettings + "\n[log]\nlevel = \"loud\"\n", "line 17: key log.level: loud is not one of"},
	}
	for name, c := range cases {
		_, err := settings.Parse("gaplinkd.toml", []byte(c.text))
		if result.From(err).Code != result.BadSettings {
			t.Errorf("%s: got %v", name, err)
			continue
		}
		if !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "gaplinkd.toml") {
			t.Errorf("%s: got %q, want %q in it", name, err, c.want)
		}
	}
}
