package store

import "fmt"

// Limits are the sizes that a service accepts. Zero means no limit.
type Limits struct {
	// KeyBytes and ValueBytes limit the length of a key and of a value.
	KeyBytes, ValueBytes int
}

// TooLarge reports a key or a value that the service will never accept.
type TooLarge struct {
	Key string
	// What is "key" or "value". Bytes is its length and Limit the greatest one allowed.
	What         string
	Bytes, Limit int
}

func (e *TooLarge) Error() string {
	return fmt.Sprintf("%s of %.64s has %d bytes, limit %d", e.What, e.Key, e.Bytes, e.Limit)
}

// Check returns a [*TooLarge] error for the first key or value of a transaction that exceeds
// its limit.
func (l Limits) Check(t Txn) error {
	for _, p := range t.Puts {
		if err := l.CheckPut(p); err != nil {
			return err
		}
	}
	for _, key := range t.Removes {
		if err := l.checkKey(key); err != nil {
			return err
		}
	}
	for _, g := range t.Guards {
		if err := l.checkKey(g.Key); err != nil {
			return err
		}
	}
	return nil
}

// CheckPut returns a [*TooLarge] error if the key or the value of a put exceeds its limit.
func (l Limits) CheckPut(p Put) error {
	if l.ValueBytes > 0 && len(p.Value) > l.ValueBytes {
		return &TooLarge{Key: p.Key, What: "value", Bytes: len(p.Value), Limit: l.ValueBytes}
	}
	return l.checkKey(p.Key)
}

func (l Limits) checkKey(key string) error {
	if l.KeyBytes > 0 && len(key) > l.KeyBytes {
		return &TooLarge{Key: key, What: "key", Bytes: len(key), Limit: l.KeyBytes}
	}
	return nil
}
