package blocks

import "encoding/binary"

// noClass stands for "no enclosing prefix".
const noClass = ^uint32(0)

// classes interns the combinations of regions. A combination is a vector with
// one region index for each source. Without inheritance from the enclosing
// prefix, an address would lose the region that one account declares for a
// wide prefix as soon as another account declares a narrower one inside it.
type classes struct {
	sources int
	vectors [][]uint16
	byStep  map[string]uint32
	byValue map[string]uint32
	scratch []byte
}

func newClasses(sources int) *classes {
	return &classes{
		sources: sources,
		byStep:  make(map[string]uint32),
		byValue: make(map[string]uint32),
	}
}

// with returns the class of a prefix inside parent that the declarations
// overlay. The step (parent, declarations) is looked up first, so that the
// cost for each prefix does not grow with the number of sources.
func (c *classes) with(parent uint32, overlay []declaration) uint32 {
	c.scratch = binary.LittleEndian.AppendUint32(c.scratch[:0], parent)
	for _, d := range overlay {
		c.scratch = binary.LittleEndian.AppendUint32(c.scratch, d.source)
		c.scratch = binary.LittleEndian.AppendUint16(c.scratch, d.region)
	}
	if class, known := c.byStep[string(c.scratch)]; known {
		return class
	}
	step := string(c.scratch)
	class := c.intern(parent, overlay)
	c.byStep[step] = class
	return class
}

func (c *classes) intern(parent uint32, overlay []declaration) uint32 {
	vector := make([]uint16, c.sources)
	if parent != noClass {
		copy(vector, c.vectors[parent])
	}
	for _, d := range overlay {
		vector[d.source] = d.region
	}
	c.scratch = c.scratch[:0]
	for _, region := range vector {
		c.scratch = binary.LittleEndian.AppendUint16(c.scratch, region)
	}
	if class, known := c.byValue[string(c.scratch)]; known {
		return class
	}
	class := uint32(len(c.vectors))
	c.byValue[string(c.scratch)] = class
	c.vectors = append(c.vectors, vector)
	return class
}

// column returns one source's region index for every class.
func (c *classes) column(source int) []uint16 {
	column := make([]uint16, len(c.vectors))
	for class, vector := range c.vectors {
		column[class] = vector[source]
	}
	return column
}
