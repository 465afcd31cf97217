package settings

import (
	"fmt"
	"os"
	"strings"

	"geraniumnotch.example/geraniumnotch/inifile"
)

// maxFileBytes limits the size of a settings file.
const maxFileBytes = 1 << 20

// Problems is the error of Parse. It holds every problem of the text.
type Problems []inifile.Problem

// Error lists the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return fmt.Sprintf("settings: %d problems\n  %s", len(p), strings.Join(lines, "\n  "))
}

// Load reads a settings file and checks it with Parse.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// Parse parses and checks the text of a settings file. The error is of type
// Problems.
func Parse(data []byte) (*Settings, error) {
	sections, parseProblems := inifile.Parse(data, maxFileBytes)
	c := checker{problems: parseProblems, present: map[string]bool{}, settings: &Settings{}}
	c.applyDefaults()
	for _, section := range sections {
		c.applySection(section)
	}
	c.requireKeys()
	if len(c.problems) > 0 {
		return nil, Problems(c.problems)
	}
	return c.settings, nil
}

// checker collects the settings and the problems of a text. present holds the
// known keys that the text contains, each as SECTION]NAME.
type checker struct {
	settings *Settings
	present  map[string]bool
	problems []inifile.Problem
}

func (c *checker) applyDefaults() {
	for _, k := range keys {
		if k.Default != "" {
			k.set(c.settings, k.Default)
		}
	}
}

func (c *checker) applySection(section inifile.Section) {
	if !isSection(section.Name) {
		c.problems = append(c.problems, inifile.Problem{
			Section: section.Name, Line: section.Line, Expected: "one of the sections " + strings.Join(sectionNames(), ", "),
		})
		return
	}
	for _, value := range section.Values {
		c.applyValue(section, value)
	}
}

func (c *checker) applyValue(section inifile.Section, value inifile.Value) {
	problem := inifile.Problem{Section: section.Name, Key: value.Key, Line: value.Line, Value: value.Text}
	k, found := findKey(section.Name, value.Key)
	if !found {
		problem.Expected = "one of the keys " + strings.Join(keyNames(section.Name), ", ")
		c.problems = append(c.problems, problem)
		return
	}
	c.present[section.Name+"]"+value.Key] = true
	if !k.set(c.settings, value.Text) {
		problem.Expected = k.Expected
		c.problems = append(c.problems, problem)
	}
}

func (c *checker) requireKeys() {
	for _, k := range keys {
		if k.Required && !c.present[k.Section+"]"+k.Name] {
			c.problems = append(c.problems, inifile.Problem{
				Section: k.Section, Key: k.Name, Expected: "a value, because the key is required: " + k.Expected,
			})
		}
	}
}

func findKey(section, name string) (Key, bool) {
	for _, k := range keys {
		if k.Section == section && k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

func isSection(name string) bool { return len(keyNames(name)) > 0 }

func keyNames(section string) []string {
	var names []string
	for _, k := range keys {
		if k.Section == section {
			names = append(names, k.Name)
		}
	}
	return names
}

func sectionNames() []string {
	var names []string
	for _, k := range keys {
		if len(names) == 0 || names[len(names)-1] != k.Section {
			names = append(names, k.Section)
		}
	}
	return names
}
