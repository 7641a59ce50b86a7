package trial

import (
	"fmt"
	"image/color"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
	dotRadius  = vg.Length(4)
	// minRatio replaces smaller ratios, because a logarithmic axis has no zero.
	minRatio = 0.1
)

// Plot writes a chart of the ratios of one scenario to a file. The suffix of the file
// name selects the format.
func Plot(file, scenario string, ts []Table) error {
	p := plot.New()
	p.Title.Text = "p99 wait relative to the shortest queue of all: " + scenario
	p.X.Label.Text = "ratio, logarithmic"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	colors := []color.Color{color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff}, color.RGBA{R: 0xc8, G: 0x55, B: 0x1b, A: 0xff}}
	var names []string
	for _, t := range ts {
		if t.Scenario != scenario {
			continue
		}
		names = nil
		var xys plotter.XYs
		for i, r := range t.Results {
			names = append(names, r.Policy)
			xys = append(xys, plotter.XY{X: max(r.Ratio, minRatio), Y: float64(i)})
		}
		s, err := plotter.NewScatter(xys)
		if err != nil {
			return errors.Trace(err)
		}
		s.GlyphStyle = draw.GlyphStyle{Color: colors[0], Radius: dotRadius, Shape: draw.CircleGlyph{}}
		colors = append(colors[1:], colors[0])
		p.Add(s)
		p.Legend.Add(fmt.Sprintf("%d endpoints x %d slots", t.Size.Endpoints, t.Size.Slots), s)
	}
	p.NominalY(names...)
	return errors.Trace(p.Save(plotWidth, plotHeight, file))
}
