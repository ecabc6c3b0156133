package mesh

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"redwingspread/internal/allowance"
	"redwingspread/internal/model"
	"redwingspread/pkg/api/meshapi"
)

const (
	packFrom = 128       // bytes of a question or answer from which packing saves more than it costs
	maxNext  = time.Hour // until the next token, as far as a message tells it
)

// SendQuestion sends a question for tokens to a host; a question that is lost counts as not answered.
func (n *Node) SendQuestion(to model.Address, q allowance.Question) (err error) {
	message := encodeQuestion(q)
	body, err := message.MarshalJSON()
	if err != nil {
		return fmt.Errorf("mesh: encode question: %w", err)
	}
	return n.sendTokens(to, purposeQuestion, body)
}

// SendAnswer sends the answer to a question to the host that asked.
func (n *Node) SendAnswer(to model.Address, a allowance.Answer) (err error) {
	message := encodeAnswer(a)
	body, err := message.MarshalJSON()
	if err != nil {
		return fmt.Errorf("mesh: encode answer: %w", err)
	}
	return n.sendTokens(to, purposeTokens, body)
}

// sendTokens sends a question or answer. Large ones are packed: every release that knows them reads packed messages.
func (n *Node) sendTokens(to model.Address, purpose string, body []byte) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: send to %s: %w", to, err)
		}
	}()
	key, socket := n.key.Load(), n.socket.Load()
	if key == nil || socket == nil {
		return nil
	}
	address, err := netip.ParseAddrPort(string(to))
	if err != nil {
		return err
	}
	if len(body) >= packFrom {
		if body, err = n.packer.Pack(body); err != nil {
			return err
		}
	}
	_, err = socket.WriteToUDPAddrPort(append(key.computeMAC(purpose, body), body...), address)
	return err
}

// receiveTokens passes on a question or answer; it returns ErrInvalidMAC for any other datagram.
func (n *Node) receiveTokens(key *Key, datagram []byte, from model.Address) error {
	body, err := openDatagram(key, purposeQuestion, datagram)
	if err == nil {
		return n.receiveQuestion(body, from)
	}
	if !errors.Is(err, ErrInvalidMAC) {
		return err
	}
	if body, err = openDatagram(key, purposeTokens, datagram); err != nil {
		return err
	}
	return n.receiveAnswer(body)
}

// receiveQuestion passes a question to OnQuestion.
func (n *Node) receiveQuestion(body []byte, from model.Address) error {
	if n.OnQuestion == nil {
		return nil
	}
	q, err := decodeQuestion(body)
	if err == nil {
		n.OnQuestion(q, from)
	}
	return err
}

// receiveAnswer passes an answer to OnAnswer.
func (n *Node) receiveAnswer(body []byte) error {
	if n.OnAnswer == nil {
		return nil
	}
	a, err := decodeAnswer(body)
	if err == nil {
		n.OnAnswer(a)
	}
	return err
}

// openDatagram verifies the MAC of a datagram for one purpose and returns its unpacked body.
func openDatagram(key *Key, purpose string, datagram []byte) ([]byte, error) {
	if len(datagram) < MACSize {
		return nil, ErrInvalidMAC
	}
	body := datagram[MACSize:]
	if err := key.verifyMAC(purpose, body, datagram[:MACSize]); err != nil {
		return nil, err
	}
	return Unpack(body)
}

// encodeQuestion returns the message of a question.
func encodeQuestion(q allowance.Question) *meshapi.Question {
	message := &meshapi.Question{
		Host:        string(q.From),
		Incarnation: uint64(q.Incarnation),
		Sequence:    uint64(q.Sequence),
		Asks:        make([]meshapi.Tokens, 0, len(q.Parts)),
	}
	for _, ask := range q.Parts {
		tokens := meshapi.Tokens{Tenant: string(ask.Tenant), Rank: int(ask.Rank), Count: ask.Count}
		if ask.Waiting != 0 {
			tokens.Waiting = meshapi.NewOptInt(ask.Waiting)
		}
		message.Asks = append(message.Asks, tokens)
	}
	return message
}

// decodeQuestion returns the question in a body.
func decodeQuestion(body []byte) (q allowance.Question, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: decode question: %w", err)
		}
	}()
	var message meshapi.Question
	if err := message.UnmarshalJSON(body); err != nil {
		return q, err
	}
	if err := message.Validate(); err != nil {
		return q, err
	}
	q = allowance.Question{
		From:        model.HostID(message.Host),
		Incarnation: model.Incarnation(message.Incarnation),
		Sequence:    model.Sequence(message.Sequence),
	}
	for _, ask := range message.Asks {
		q.Parts = append(q.Parts, allowance.Ask{
			Tenant: model.TenantID(ask.Tenant), Rank: rankOf(ask.Rank), Count: max(ask.Count, 0), Waiting: max(ask.Waiting.Value, 0),
		})
	}
	return q, nil
}

// encodeAnswer returns the message of an answer.
func encodeAnswer(a allowance.Answer) *meshapi.Answer {
	message := &meshapi.Answer{Host: string(a.From), Sequence: uint64(a.Sequence), Grants: make([]meshapi.Grant, 0, len(a.Parts))}
	for _, part := range a.Parts {
		grant := meshapi.Grant{Tenant: string(part.Tenant), Rank: int(part.Rank), Granted: part.Granted}
		if part.Next > 0 {
			grant.Next = meshapi.NewOptInt64(int64(model.Millis(part.Next + time.Millisecond - 1)))
		}
		message.Grants = append(message.Grants, grant)
	}
	return message
}

// decodeAnswer returns the answer in a body.
func decodeAnswer(body []byte) (a allowance.Answer, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: decode answer: %w", err)
		}
	}()
	var message meshapi.Answer
	if err := message.UnmarshalJSON(body); err != nil {
		return a, err
	}
	if err := message.Validate(); err != nil {
		return a, err
	}
	a = allowance.Answer{From: model.HostID(message.Host), Sequence: model.Sequence(message.Sequence)}
	for _, grant := range message.Grants {
		next := min(max(grant.Next.Value, 0), int64(model.Millis(maxNext)))
		a.Parts = append(a.Parts, allowance.Grant{
			Tenant: model.TenantID(grant.Tenant), Rank: rankOf(grant.Rank), Granted: max(grant.Granted, 0), Next: model.Milliseconds(next).Duration(),
		})
	}
	return a, nil
}

// rankOf returns the rank of a number in a message; an unknown one is the least urgent.
func rankOf(number int) model.Rank {
	if number < int(model.RankOne) || number > int(model.RankThree) {
		return model.RankThree
	}
	return model.Rank(number)
}
