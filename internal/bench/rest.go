package bench

import (
	"context"
	"time"

	"balsamwharf.example/balsamwharf/internal/crowd"
	"balsamwharf.example/balsamwharf/internal/slopes"
)

// restTime is how long each size of the fleet is measured.
const restTime = 15 * time.Second

// measureRest measures one daemon at rest in fleets of several sizes.
func measureRest(ctx context.Context, s *slopes.Slopes) error {
	s.Rest = nil
	for _, members := range []int{96, 500, 2000} {
		cost, err := crowd.Run(ctx, crowd.Plan{Members: members, Targets: 13, Centres: 13, Services: 690, For: restTime})
		if err != nil {
			return err
		}
		s.Rest = append(s.Rest, slopes.Rest{
			Members:   members,
			Processor: float64(cost.Processor.Microseconds()),
			Bytes:     cost.Bytes,
			Messages:  cost.Messages,
		})
	}
	return nil
}
