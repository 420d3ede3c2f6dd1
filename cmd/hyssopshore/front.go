package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"hyssopshore/io/hysfront"
	"hyssopshore/io/hyslog"
	hysplatform "hyssopshore/platform"
)

const usageFront = `Run a frontend daemon on the platform until SIGTERM or SIGINT.

The platform writes the settings file and names its path in the environment.
The daemon reads routes and searchers from the platform's store and keeps
nothing. It logs JSON lines on standard output; docs/OPERATIONS.md leads from a
request's id to its cause. SIGHUP reads the settings again; a file with problems
is logged and the old settings hold. On SIGTERM the daemon reports that it is
not ready, finishes what runs, and exits with 0.

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
	front := hysfront.New(settings, hysplatform.NewSource(store), hysplatform.Headers(), log)
	if err := front.Run(ctx, reloads(ctx, path, log)); err != nil {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// reloads reads the settings again on each SIGHUP.
func reloads(ctx context.Context, path string, log *slog.Logger) <-chan hysfront.Settings {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	changed := make(chan hysfront.Settings)
	go func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			}
			settings, err := hysplatform.LoadSettings(path)
			if err != nil {
				log.Warn("settings not reloaded, the old ones hold", "error", err)
				continue
			}
			select {
			case changed <- settings:
			case <-ctx.Done():
			}
		}
	}()
	return changed
}
