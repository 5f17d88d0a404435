package burnplot

import "image/color"

// barColors are the colours of the windows, which can be distinguished in greyscale too.
var barColors = []color.Color{
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{R: 0x00, G: 0x44, B: 0x77, A: 0xff},
}
