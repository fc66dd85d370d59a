package backend

// DefaultMaxHeldBytes is the default of Pool.MaxHeldBytes.
const DefaultMaxHeldBytes = 64 << 20

// Hold notes that n bytes of the response are held in memory until Close. An error means that the
// response must be given up, because all responses of the pool together hold too much.
func (r *Response) Hold(n int) error {
	limit := r.pool.MaxHeldBytes
	if limit <= 0 {
		limit = DefaultMaxHeldBytes
	}
	if r.holder.GiveUp == nil {
		conn := r.conn
		r.holder.GiveUp = func() { _ = conn.Close() } // Unblocks a pending read.
	}
	if err := r.pool.held.Set(&r.holder, int64(n), limit); err != nil {
		return incomplete("", err)
	}
	return nil
}
