package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"hyssopshore/io/hysfront"
	"hyssopshore/io/hyslog"
	hysplatform "hyssopshore/platform"
)

const usageFront = `Run a frontend daemon on the platform until SIGTERM or SIGINT.

The platform writes the settings file and names its path in the environment.
The daemon reads routes and searchers from the platform's store and keeps
nothing. It logs JSON lines on standard output; docs/OPERATIONS.md leads from a
request's id to its cause. SIGHUP reads the settings again, as does a change of
the file; one with problems is logged and the old settings hold. On SIGTERM the
daemon reports that it is not ready, finishes what runs, and exits with 0.

Examples:
  hyssopshore front
  hyssopshore front --settings node.yaml`

type frontCommand struct {
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings file of the platform; default: as its environment says"`
}

func (c *frontCommand) run(ctx context.Context, p *program) error {
	path := c.Settings
	if path == "" {
		path = hysplatform.SettingsPath()
	}
	settings, err := hysplatform.LoadSettings(path)
	if err != nil {
		return usageError("front: %w", err)
	}
	writer := hyslog.NewWriter(p.stdout)
	defer writer.Close()
	log := slog.New(hyslog.NewHandler(writer))
	store := hysplatform.NewStore(settings.StoreAddress)
	defer store.Close()
	front := hysfront.New(settings, hysplatform.NewSource(store), hysplatform.Headers(), log,
		hysfront.WithDroppedLines(writer.Dropped))
	if err := front.Run(ctx, reloads(ctx, path, p.hangups, log)); err != nil {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// settingsInterval is how often the settings are looked at, since they may also
// change without a signal.
const settingsInterval = 5 * time.Second

// reloads reads the settings again on each SIGHUP and whenever they change.
func reloads(ctx context.Context, path string, hangups <-chan os.Signal, log *slog.Logger) <-chan hysfront.Settings {
	changed := make(chan hysfront.Settings)
	go func() {
		ticker := time.NewTicker(settingsInterval)
		defer ticker.Stop()
		// A file that can not be read now is read at the next look.
		last, _ := os.ReadFile(path)
		for {
			asked := false
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				asked = true
			case <-ticker.C:
			}
			data, err := os.ReadFile(path)
			if err == nil && !asked && bytes.Equal(data, last) {
				continue
			}
			last = data
			reload(ctx, path, log, changed)
		}
	}()
	return changed
}

// reload hands new settings on. Those that can't be used change nothing.
func reload(ctx context.Context, path string, log *slog.Logger, changed chan<- hysfront.Settings) {
	settings, err := hysplatform.LoadSettings(path)
	if err != nil {
		log.Warn("settings not reloaded, the old ones hold", "error", err)
		return
	}
	select {
	case changed <- settings:
	case <-ctx.Done():
	}
}
