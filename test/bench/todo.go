package main

func onceOnly(*harness) ([]result, error)      { return nil, nil }
func rollAndLeave(*harness) ([]result, error)  { return nil, nil }
func platformCalls(*harness) ([]result, error) { return nil, nil }
