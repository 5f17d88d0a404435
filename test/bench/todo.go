package main

func rollAndLeave(*harness) ([]result, error)  { return nil, nil }
func platformCalls(*harness) ([]result, error) { return nil, nil }
