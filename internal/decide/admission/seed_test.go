package admission

import _ "hemlockquay/internal/fixedseed"
