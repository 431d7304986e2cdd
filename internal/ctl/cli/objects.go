package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"

	"hemlockquay/internal/ctl"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/settings"
)

// objectCommand holds the fields that all commands on objects share.
type objectCommand struct {
	app  *app
	kind model.Kind
}

type nameArg struct {
	Name string `positional-arg-name:"NAME" required:"yes"`
}

type filesArg struct {
	Files []string `positional-arg-name:"FILE" required:"1"`
}

type get struct {
	objectCommand
	Args nameArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *get) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	o, err := c.app.store().Get(ctx, platform.ID{Kind: c.kind, Name: c.Args.Name})
	if err != nil {
		return err
	}
	text, err := ctl.Render(o)
	if err != nil {
		return err
	}
	return c.app.print(o, func(w io.Writer) { _, _ = w.Write(text) })
}

type list struct{ objectCommand }

// Execute implements flags.Commander.
func (c *list) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	l, err := c.app.store().List(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{heading(c.kind)}
	objects := make([]platform.Object, 0, len(l.Objects))
	for _, o := range l.Objects {
		if o.Kind == c.kind {
			objects = append(objects, o)
			rows = append(rows, objectRow(o))
		}
	}
	return c.app.print(objects, func(w io.Writer) { writeTable(w, rows) })
}

func heading(kind model.Kind) []string {
	if kind == model.KindService {
		return []string{"SERVICE", "VERSION", "KEYED", "TARGETS", "SLOTS", "SHUTDOWN", "PROBLEM"}
	}
	return []string{"CUSTOMER", "VERSION", "SERVICES", "END", "PROBLEM"}
}

func objectRow(o platform.Object) []string {
	version := strconv.FormatUint(o.Version, 10)
	decoded, err := model.Decode(o.Kind, o.Name, o.Spec)
	switch typed := decoded.(type) {
	case *model.Service:
		return []string{o.Name, version, strconv.FormatBool(typed.Keyed), strconv.Itoa(len(typed.Targets)), strconv.Itoa(typed.Slots), orDash(typed.Shutdown.String()), "-"}
	case *model.Contract:
		return []string{o.Name, version, strconv.Itoa(len(typed.Services)), orDash(typed.End.String()), "-"}
	}
	cells := heading(o.Kind)
	for i := range cells {
		cells[i] = "-"
	}
	cells[0], cells[1], cells[len(cells)-1] = o.Name, version, fmt.Sprint(err)
	return cells
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

type check struct {
	objectCommand
	Args filesArg `positional-args:"yes"`
}

// Execute implements flags.Commander. With --store it also checks the files against the
// stored objects.
func (c *check) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	for _, file := range c.Args.Files {
		o, err := ctl.ReadFile(c.kind, file)
		if err != nil {
			return err
		}
		if c.app.options.Store != "" {
			if err := c.crossCheck(ctx, o); err != nil {
				return err
			}
		}
		fmt.Fprintf(c.app.log, "%s: %s %s is valid\n", file, o.Kind, o.Name)
	}
	return nil
}

// crossCheck checks an object against the stored ones. It logs warnings and returns an
// error if the object must not be written.
func (o *objectCommand) crossCheck(ctx context.Context, mine platform.Object) error {
	l, err := o.app.store().List(ctx)
	if err != nil {
		return err
	}
	warnings, err := ctl.CrossCheck(mine, l.Objects)
	for _, w := range warnings {
		fmt.Fprintln(o.app.log, "warning:", w)
	}
	return err
}

type diff struct {
	objectCommand
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diff) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	mine, err := ctl.ReadFile(c.kind, c.Args.File)
	if err != nil {
		return err
	}
	stored, err := c.app.store().Get(ctx, mine.ID())
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	differences := ctl.Diff(stored.Spec, mine.Spec)
	err = c.app.print(differences, func(w io.Writer) {
		rows := [][]string{{"FIELD", "STORED (version " + strconv.FormatUint(stored.Version, 10) + ")", "YOURS"}}
		for _, d := range differences {
			rows = append(rows, []string{d.Pointer, orDash(d.Stored), orDash(d.Local)})
		}
		writeTable(w, rows)
	})
	if err == nil && len(differences) > 0 {
		return errDiffers
	}
	return err
}

type apply struct {
	objectCommand
	Read uint64   `long:"read" value-name:"N" description:"the version that you read; else the file's line // version: N, else the object must be new"`
	Wait bool     `long:"wait" description:"return once every live VM has it in force"`
	Args filesArg `positional-args:"yes"`
}

// Execute implements flags.Commander. All files are checked before the first object is
// written.
func (c *apply) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	objects, err := c.read(ctx)
	if err != nil {
		return err
	}
	var newest uint64
	var done []ctl.ApplyResult
	for _, o := range objects {
		r, err := ctl.Apply(ctx, c.app.store(), o)
		if err != nil {
			return err
		}
		newest = max(newest, r.Version)
		done = append(done, r)
		if !c.app.JSON {
			fmt.Fprintf(c.app.out, "%s %s: version %d, %s\n", r.Kind, r.Name, r.Version, changeText(r))
		}
	}
	if c.app.JSON {
		if err := c.app.print(done, nil); err != nil {
			return err
		}
	}
	if !c.Wait {
		return nil
	}
	return c.app.fleet().Wait(ctx, newest)
}

func changeText(r ctl.ApplyResult) string {
	if r.Changed {
		return "changed"
	}
	return "unchanged"
}

func (c *apply) read(ctx context.Context) ([]platform.Object, error) {
	if c.Read > 0 && len(c.Args.Files) > 1 {
		return nil, &settings.Error{Source: "command line", Line: 1, Reason: "--read can be used with one file only"}
	}
	var objects []platform.Object
	for _, file := range c.Args.Files {
		o, err := ctl.ReadFile(c.kind, file)
		if err != nil {
			return nil, err
		}
		if c.Read > 0 {
			o.Version = c.Read
		}
		if err := c.crossCheck(ctx, o); err != nil {
			return nil, err
		}
		objects = append(objects, o)
	}
	return objects, nil
}

type remove struct {
	objectCommand
	Read uint64  `long:"read" value-name:"N" required:"yes" description:"the version that you read"`
	Args nameArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *remove) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	if c.kind == model.KindService {
		if err := c.warnOfContracts(ctx); err != nil {
			return err
		}
	}
	err := ctl.Delete(ctx, c.app.store(), platform.ID{Kind: c.kind, Name: c.Args.Name}, c.Read)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.app.log, "%s %s: deleted\n", c.kind, c.Args.Name)
	return nil
}

func (c *remove) warnOfContracts(ctx context.Context) error {
	l, err := c.app.store().List(ctx)
	if err != nil {
		return err
	}
	for _, customer := range ctl.ContractsUsing(c.Args.Name, l.Objects) {
		fmt.Fprintf(c.app.log, "warning: contract %s refers to service %s\n", customer, c.Args.Name)
	}
	return nil
}
