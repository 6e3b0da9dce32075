package check

func checkLeaving(in *Input, r *Report) {
	byTarget := make(map[string][]Leaving)
	for _, l := range in.Leaving {
		byTarget[l.Target] = append(byTarget[l.Target], l)
	}
	for i := range in.Ran {
		line := &in.Ran[i]
		for _, l := range byTarget[line.Target] {
			checkWorkAfter(in, line, l, r)
		}
	}
}

func checkWorkAfter(in *Input, line *Ran, l Leaving, r *Report) {
	if line.At.Before(l.At) || (!l.Until.IsZero() && !line.At.Before(l.Until)) {
		return
	}
	r.checked(WorkAfterLeaving)
	late := line.At.Sub(l.At)
	if late > in.LeaveBound {
		r.violated(WorkAfterLeaving, "%s came to %s %v after it began to leave", line.Token, line.Target, late)
	}
}
