package config

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"redwingspread/internal/model"
)

// namePattern matches the names of entries, databases, kinds, data centres and regions.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// The allowed values of names and dates, as problems describe them.
const (
	allowedName   = "1 to 64 letters, digits, dots, dashes or underscores"
	allowedUnique = "a name that no other entry has"
	allowedDate   = "a day as YYYY-MM-DD"
)

// Check returns Problems that list every invalid field of the document, or nil. It looks for contradictory exceptions and for
// floors of more than 100% in total only if all fields are valid.
func (d Document) Check() error {
	var problems Problems
	d.Defaults.check(&problems)
	d.checkKinds(&problems)
	d.checkExceptions(&problems)
	d.checkTokens(&problems)
	if len(problems) == 0 {
		d.checkContradictions(&problems)
		d.checkFloors(&problems)
	}
	if len(problems) == 0 {
		return nil
	}
	return problems
}

// check records the invalid defaults.
func (d Defaults) check(p *Problems) {
	checkDuration(p, "defaults.deadlineMs", d.Deadline)
	checkDuration(p, "defaults.transactionIdleMs", d.TransactionIdle)
	checkDuration(p, "defaults.transactionLimitMs", d.TransactionLimit)
	p.require(d.QueueLimit >= 1 && d.QueueLimit <= maxQueueLimit, "defaults.queueLimit", d.QueueLimit,
		fmt.Sprintf("a whole number from 1 to %d", maxQueueLimit))
	p.require(d.TransactionIdle <= d.TransactionLimit, "defaults.transactionIdleMs", d.TransactionIdle,
		"at most defaults.transactionLimitMs")
	if len(d.RankFloors) != model.RankCount {
		p.add("defaults.rankFloors", fmt.Sprint(d.RankFloors), "three shares in percent, for ranks one to three")
		return
	}
	sum := model.Percent(0)
	for i, floor := range d.RankFloors {
		checkPercent(p, fmt.Sprintf("defaults.rankFloors[%d]", i), floor)
		sum += floor
	}
	p.require(sum <= maxPercent, "defaults.rankFloors", d.RankFloors, "shares that add up to at most 100")
}

// checkKinds records the invalid kinds of work.
func (d Document) checkKinds(p *Problems) {
	p.require(len(d.Kinds) >= 1 && len(d.Kinds) <= maxKinds, "kinds", len(d.Kinds), fmt.Sprintf("1 to %d kinds", maxKinds))
	seen := map[model.KindID]bool{}
	for i, kind := range d.Kinds {
		path := fmt.Sprintf("kinds[%d]", i)
		checkName(p, path+".name", string(kind.Name))
		p.require(!seen[kind.Name], path+".name", kind.Name, allowedUnique)
		seen[kind.Name] = true
		kind.check(p, path)
	}
}

// check records the invalid fields of one kind of work.
func (k Kind) check(p *Problems, path string) {
	p.require(k.Rank.Valid(), path+".rank", k.Rank, "1, 2 or 3")
	p.require(k.Access == model.Read || k.Access == model.Write, path+".access", k.Access, "read or write")
	p.require(slices.Contains(durabilities, k.Durability), path+".durability", k.Durability, rules[SettingDurability].allowed)
	p.require(k.Access != model.Read || k.Durability == model.DurabilityNone, path+".durability", k.Durability, "none for a read")
	checkPercent(p, path+".floor", k.Floor)
	if k.MaxAge == nil {
		return
	}
	p.require(k.Access == model.Read, path+".maxAgeMs", *k.MaxAge, "absent for a write")
	p.require(*k.MaxAge >= 0 && *k.MaxAge <= maxTimeMs, path+".maxAgeMs", *k.MaxAge, fmt.Sprintf("absent, or a whole number from 0 to %d", maxTimeMs))
}

// checkExceptions records the invalid exceptions.
func (d Document) checkExceptions(p *Problems) {
	p.require(len(d.Exceptions) <= maxExceptions, "exceptions", len(d.Exceptions), fmt.Sprintf("at most %d exceptions", maxExceptions))
	seen := map[Name]bool{}
	dataCentres := map[model.DataCentreID]bool{}
	regions := map[model.RegionID]bool{}
	for i, e := range d.Exceptions {
		path := fmt.Sprintf("exceptions[%d]", i)
		checkName(p, path+".name", string(e.Name))
		p.require(!seen[e.Name], path+".name", e.Name, allowedUnique)
		seen[e.Name] = true
		dataCentres[e.DataCentre] = true
		regions[e.Region] = true
		d.checkScope(p, path, e)
		d.checkValue(p, path, e)
		checkOrigin(p, path, e.Reason, e.Author, e.Date)
		if e.Review != "" {
			checkDate(p, path+".review", e.Review)
			p.require(e.Review >= e.Date, path+".review", e.Review, "a day that is not before the exception's date")
		}
	}
	p.require(len(dataCentres) <= maxLocations, "exceptions", len(dataCentres), fmt.Sprintf("at most %d data centres in all", maxLocations))
	p.require(len(regions) <= maxLocations, "exceptions", len(regions), fmt.Sprintf("at most %d regions in all", maxLocations))
}

// checkScope records a scope that is empty, has a malformed name or an invalid rank, or names an unknown kind or a rank other
// than its kind's.
func (d Document) checkScope(p *Problems, path string, e Exception) {
	parts := []struct{ label, name string }{
		{"database", string(e.Database)}, {"kind", string(e.Kind)}, {"dataCentre", string(e.DataCentre)}, {"region", string(e.Region)},
	}
	for _, part := range parts {
		if part.name != "" {
			checkName(p, path+"."+part.label, part.name)
		}
	}
	if e.specificity() == 0 {
		p.add(path, string(e.Name), "at least one of database, kind, rank, dataCentre, region; what holds everywhere belongs to defaults or kinds")
	}
	p.require(e.Rank == 0 || e.Rank.Valid(), path+".rank", e.Rank, "1, 2, 3 or absent")
	if e.Kind == "" {
		return
	}
	kind := d.kind(e.Kind)
	if kind == nil {
		p.add(path+".kind", string(e.Kind), "one of "+d.kindNames())
		return
	}
	p.require(e.Rank == 0 || e.Rank == kind.Rank, path+".rank", e.Rank, fmt.Sprintf("%d, the rank of %s, or absent", kind.Rank, kind.Name))
}

// checkValue records an unknown setting, a value that the setting does not allow, or a setting without effect on the kind.
func (d Document) checkValue(p *Problems, path string, e Exception) {
	rule, known := rules[e.Setting]
	if !known {
		p.add(path+".setting", string(e.Setting), "one of "+settingNames())
		return
	}
	p.require(rule.apply(e.Value, &EffectiveSettings{}), path+".value", e.Value, rule.allowed)
	kind := d.kind(e.Kind)
	if kind != nil && !rule.appliesTo(kind.Access) {
		p.add(path+".setting", string(e.Setting), fmt.Sprintf("a setting of a %s; %s is for a %s", kind.Access, e.Setting, rule.access))
	}
}

// checkTokens records the invalid tokens.
func (d Document) checkTokens(p *Problems) {
	p.require(len(d.Tokens) <= maxTokens, "tokens", len(d.Tokens), fmt.Sprintf("at most %d tokens", maxTokens))
	names := map[Name]bool{}
	hashes := map[string]bool{}
	for i, token := range d.Tokens {
		path := fmt.Sprintf("tokens[%d]", i)
		checkName(p, path+".name", string(token.Name))
		p.require(!names[token.Name], path+".name", token.Name, allowedUnique)
		names[token.Name] = true
		p.require(slices.Contains(roles, token.Role), path+".role", token.Role, "one of caller, reader, operator")
		raw, err := hex.DecodeString(token.Hash)
		p.require(err == nil && len(raw) == hashBytes && strings.ToLower(token.Hash) == token.Hash, path+".hash", "(hidden)",
			"the SHA-256 of the token as 64 hexadecimal digits in lower case; `redwingspread keys token` makes one")
		p.require(!hashes[token.Hash], path+".hash", "(hidden)", "a hash that no other token has")
		hashes[token.Hash] = true
		checkOrigin(p, path, token.Reason, token.Author, token.Date)
	}
}

// hashBytes is the length of a token's SHA-256 hash.
const hashBytes = 32

// roles lists the roles, each of which includes those before it.
var roles = []Role{RoleCaller, RoleReader, RoleOperator}

// checkOrigin records a missing or invalid reason, author or date of an entry.
func checkOrigin(p *Problems, path string, reason string, author Author, date Date) {
	p.require(strings.TrimSpace(reason) != "" && len(reason) <= maxReasonBytes, path+".reason", reason,
		fmt.Sprintf("a written reason of at most %d bytes that says why the entry exists", maxReasonBytes))
	p.require(strings.TrimSpace(string(author)) != "" && len(author) <= maxNameBytes, path+".author", author, "a name of 1 to 64 bytes")
	checkDate(p, path+".date", date)
}

// checkName records a malformed name.
func checkName(p *Problems, path, name string) {
	p.require(namePattern.MatchString(name), path, name, allowedName)
}

// checkDate records a malformed date.
func checkDate(p *Problems, path string, date Date) {
	_, err := time.Parse(time.DateOnly, string(date))
	p.require(err == nil, path, date, allowedDate)
}

// checkDuration records a duration out of range.
func checkDuration(p *Problems, path string, value Milliseconds) {
	p.require(value >= 1 && value <= maxTimeMs, path, value, fmt.Sprintf("a whole number from 1 to %d", maxTimeMs))
}

// checkPercent records a share out of range.
func checkPercent(p *Problems, path string, value model.Percent) {
	p.require(value >= 0 && value <= maxPercent, path, value, "a whole number from 0 to 100")
}

// kindNames returns the names of the kinds of work, separated by commas.
func (d Document) kindNames() string {
	names := make([]string, 0, len(d.Kinds))
	for _, kind := range d.Kinds {
		names = append(names, string(kind.Name))
	}
	return strings.Join(names, ", ")
}

// settingNames returns the names of the settings, separated by commas.
func settingNames() string {
	names := make([]string, 0, len(rules))
	for _, setting := range Settings() {
		names = append(names, string(setting))
	}
	return strings.Join(names, ", ")
}
