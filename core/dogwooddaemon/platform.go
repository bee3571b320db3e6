package dogwooddaemon

import (
	"context"

	"dogwoodmux.example/core/dogwoodkernel"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/edge/dogwoodplatform"
)

func init() {
	dogwoodkernel.Register(dogwoodkernel.NewPlugin(pluginPlatform, nil, startPlatform))
}

func startPlatform(_ context.Context, kernel *dogwoodkernel.Kernel, environment *environment) (*dogwoodkernel.ValuePart[*dogwoodplatform.Client], error) {
	platform := environment.settings.Platform
	key := ""
	if platform.Key != (dogwoodsettings.Secret{}) {
		contents, err := platform.Key.Read()
		if err != nil {
			return nil, Error.Wrap(err)
		}
		key = contents
	}
	client := dogwoodplatform.New(dogwoodplatform.Options{
		Tables: platform.Tables, Objects: platform.Objects, VMs: platform.VMs, Weights: platform.Weights,
		Key: key, Dialer: environment.network, Logger: kernel.Named(pluginPlatform),
	})
	return &dogwoodkernel.ValuePart[*dogwoodplatform.Client]{Value: client}, nil
}
