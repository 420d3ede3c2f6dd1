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
no state of its own. It logs JSON lines on standard output; docs/OPERATIONS.md shows
how to trace a request by its id. The settings are reloaded on SIGHUP and when the
file changes; if the new ones have problems, an error is logged and the previous
ones stay in force. On SIGTERM the daemon reports that it is not ready, finishes
the running requests, and exits with 0.

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
	if err := front.Run(ctx, watchSettings(ctx, path, p.hangups, log)); err != nil {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// settingsPollInterval is how often the settings file is checked for changes, since it
// may also change without a SIGHUP.
const settingsPollInterval = 5 * time.Second

// watchSettings returns a channel that receives the settings again after each SIGHUP and
// whenever the file changes.
func watchSettings(ctx context.Context, path string, hangups <-chan os.Signal, log *slog.Logger) <-chan hysfront.Settings {
	reloaded := make(chan hysfront.Settings)
	go func() {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		// A file that can't be read now is read at the next tick.
		last, _ := os.ReadFile(path)
		for {
			forced := false
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				forced = true
			case <-ticker.C:
			}
			data, err := os.ReadFile(path)
			if err == nil && !forced && bytes.Equal(data, last) {
				continue
			}
			last = data
			reload(ctx, path, log, reloaded)
		}
	}()
	return reloaded
}

// reload reads the settings and sends them on the channel. If they are invalid, it
// only logs a warning.
func reload(ctx context.Context, path string, log *slog.Logger, reloaded chan<- hysfront.Settings) {
	settings, err := hysplatform.LoadSettings(path)
	if err != nil {
		log.Warn("settings not reloaded; the previous ones stay in force", "error", err)
		return
	}
	select {
	case reloaded <- settings:
	case <-ctx.Done():
	}
}
