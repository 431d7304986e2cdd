package command

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/settings"
)

type fakeCommand struct {
	Need string `long:"need" required:"true"`
	err  error
}

func (f *fakeCommand) Execute([]string) error { return f.err }

func TestExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args []string
		err  error
		want int
	}{
		{"done", []string{"do", "--need", "x"}, nil, OK},
		{"help", []string{"--help"}, nil, OK},
		{"help of a command", []string{"do", "--help"}, nil, OK},
		{"version", []string{"--version"}, nil, OK},
		{"no command", nil, nil, Usage},
		{"unknown command", []string{"undo"}, nil, Usage},
		{"missing flag", []string{"do"}, nil, Usage},
		{"settings", []string{"do", "--need", "x"}, &settings.Error{}, Usage},
		{"failure", []string{"do", "--need", "x"}, errors.New("broken"), Failure},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, Run("hq-test", c.args, Command{Name: "do", Short: "s", Long: "l", Run: &fakeCommand{err: c.err}}))
		})
	}
}
